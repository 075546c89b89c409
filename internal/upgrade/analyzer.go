package upgrade

import (
	"maps"
	"math"
	"slices"
)

// cusumTest compares one kind of bad answers of two versions by a cumulative sum of log likelihood ratios (Page 1954): the
// hypothesis that the ratio of bad answers exceeds the baseline by increase, against the hypothesis that it equals the baseline.
type cusumTest struct {
	minBaseline, maxBaseline float64 // bounds of the baseline ratio of bad answers
	increase                 float64
}

var (
	// badTest counts both slow and failed answers: some are slow by chance.
	badTest = cusumTest{minBaseline: 0.12, maxBaseline: 0.5, increase: 0.25}
	// failureTest counts failed answers alone, whose baseline is low: a version may fail occasionally, as under load.
	failureTest = cusumTest{minBaseline: 0.01, maxBaseline: 0.5, increase: 0.12}
)

const (
	// alarmThreshold is the threshold of the tests: a good version raises a false alarm after e^alarmThreshold answers on average.
	alarmThreshold = 10.0
	// baselineFactor times the old version's ratio of bad answers is the baseline.
	baselineFactor = 1.5
	// priorGoodAnswers are added to the old version's answers as a prior.
	priorGoodAnswers = 20
	// minAffectedRatio is how many targets must have given a bad answer, relative to the number expected if all had the same ratio.
	minAffectedRatio = 0.6
	// minAnswersPerTarget is how many answers of a target are needed to assess it, and minKnownTargets how many such targets are
	// needed; before that, earlyAffectedRatio of the targets, and earlyAffectedTargets of them, must have given a bad answer.
	minAnswersPerTarget  = 8
	minKnownTargets      = 6
	earlyAffectedRatio   = 0.35
	earlyAffectedTargets = 3
)

// increment returns what answers of the new version add to the sum, given the old version's answers. bad
// and oldBad are how many of the answers are bad.
func (t cusumTest) increment(answers, bad, oldAnswers, oldBad int) float64 {
	baseline := min(max(t.minBaseline, baselineFactor*float64(oldBad)/float64(oldAnswers+priorGoodAnswers)), t.maxBaseline)
	degraded := min(baseline+t.increase, 0.95)
	return float64(bad)*math.Log(degraded/baseline) + float64(answers-bad)*math.Log((1-degraded)/(1-baseline))
}

// Tally counts answers, the bad ones among them, and the failed ones among those.
type Tally struct {
	Answers int `json:"answers"`
	Bad     int `json:"bad"`
	Failed  int `json:"failed"`
}

// Add is the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{t.Answers + o.Answers, t.Bad + o.Bad, t.Failed + o.Failed}
}

// Sub is the difference from an earlier tally.
func (t Tally) Sub(earlier Tally) Tally {
	return Tally{t.Answers - earlier.Answers, t.Bad - earlier.Bad, t.Failed - earlier.Failed}
}

// Analyzer compares the answers of a new version with those of the old one, by route.
type Analyzer struct {
	routes  map[string]*routeAnalysis
	targets map[string]Tally // of the new version, by target
}

// routeAnalysis is the state of one route's tests.
type routeAnalysis struct {
	old, new           Tally
	badSum, failureSum float64 // the cumulative sums of badTest and failureTest
}

// NewAnalyzer returns an analyzer without any answers.
func NewAnalyzer() *Analyzer {
	return &Analyzer{routes: map[string]*routeAnalysis{}, targets: map[string]Tally{}}
}

func (a *Analyzer) route(name string) *routeAnalysis {
	r := a.routes[name]
	if r == nil {
		r = &routeAnalysis{}
		a.routes[name] = r
	}
	return r
}

// AddOld adds answers of the old version.
func (a *Analyzer) AddOld(route string, t Tally) {
	r := a.route(route)
	r.old = r.old.Add(t)
}

// AddNew adds answers of the new version.
func (a *Analyzer) AddNew(route string, t Tally) {
	r := a.route(route)
	r.new = r.new.Add(t)
	r.badSum = max(0, r.badSum+badTest.increment(t.Answers, t.Bad, r.old.Answers, r.old.Bad))
	r.failureSum = max(0, r.failureSum+failureTest.increment(t.Answers, t.Failed, r.old.Answers, r.old.Failed))
}

// AddTarget adds answers of one target of the new version; they must also be given to AddNew.
func (a *Analyzer) AddTarget(target string, t Tally) { a.targets[target] = a.targets[target].Add(t) }

// affectsManyTargets reports whether the answers that count selects came from about as many targets as
// they would if all targets gave them equally often. A fault of the version affects all of its targets,
// a fault of a machine only one. While few targets have given enough answers, a minimum ratio of all
// targets must have given such an answer.
func (a *Analyzer) affectsManyTargets(count func(Tally) int) bool {
	known := slices.DeleteFunc(slices.Collect(maps.Values(a.targets)), func(t Tally) bool { return t.Answers < minAnswersPerTarget })
	if len(known) < minKnownTargets {
		affected := 0
		for _, t := range a.targets {
			affected += min(count(t), 1)
		}
		return affected >= min(earlyAffectedTargets, len(a.targets)) && float64(affected) >= earlyAffectedRatio*float64(len(a.targets))
	}
	var sum Tally
	affected := 0
	for _, t := range known {
		sum = sum.Add(t)
		affected += min(count(t), 1)
	}
	ratio := float64(count(sum)) / float64(sum.Answers)
	expected := 0.0
	for _, t := range known {
		expected += 1 - math.Pow(1-ratio, float64(t.Answers))
	}
	return affected > 1 && float64(affected) >= minAffectedRatio*expected
}

// DegradedRoute returns the first route, by name, on which the new version is worse than the old one.
func (a *Analyzer) DegradedRoute() (route string, found bool) {
	for name, r := range a.routes {
		degraded := r.badSum >= alarmThreshold && a.affectsManyTargets(func(t Tally) int { return t.Bad }) ||
			r.failureSum >= alarmThreshold && a.affectsManyTargets(func(t Tally) int { return t.Failed })
		if degraded && (!found || name < route) {
			route, found = name, true
		}
	}
	return route, found
}

// NewAnswers returns the new version's answers so far, on all routes together.
func (a *Analyzer) NewAnswers() Tally {
	var sum Tally
	for _, r := range a.routes {
		sum = sum.Add(r.new)
	}
	return sum
}

// EnoughAnswers reports whether each route with a significant share of the service's requests has enough answers of the new version.
func (a *Analyzer) EnoughAnswers() bool {
	old := 0
	for _, r := range a.routes {
		old += r.old.Answers
	}
	if a.NewAnswers().Answers < minAnswers {
		return false
	}
	for _, r := range a.routes {
		if float64(r.old.Answers) >= minRouteShare*float64(old) && r.new.Answers < minRouteAnswers {
			return false
		}
	}
	return true
}

const (
	// minAnswers and minRouteAnswers are how many answers of the new version are needed before its share rises, in total and on
	// each route that has minRouteShare of the requests.
	minAnswers, minRouteAnswers = 40, 8
	minRouteShare               = 0.05
)
