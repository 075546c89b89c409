package registry

import "walkrudder/internal/link"

func init() {
	link.Pair[BeatAsk, BeatTold]()
	link.Pair[WatchAsk, WatchTold]()
	link.Pair[DrainAsk, DrainTold]()
	link.Pair[MarkAsk, MarkTold]()
	link.Pair[SeenAsk, SeenTold]()
	link.Pair[ViewAsk, ViewTold]()
	link.Pair[JudgeAsk, JudgeTold]()
}
