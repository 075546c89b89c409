package registry

import "walkrudder/internal/link"

func init() {
	link.RegisterPair[BeatAsk, BeatTold]()
	link.RegisterPair[WatchAsk, WatchTold]()
	link.RegisterPair[DrainAsk, DrainTold]()
	link.RegisterPair[MarkAsk, MarkTold]()
	link.RegisterPair[SeenAsk, SeenTold]()
	link.RegisterPair[ViewAsk, ViewTold]()
	link.RegisterPair[JudgeAsk, JudgeTold]()
}
