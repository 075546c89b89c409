package quorum

import "walkrudder/internal/link"

func init() {
	link.Pair[PrepareAsk, PrepareTold]()
	link.Pair[AcceptAsk, AcceptTold]()
	link.Pair[ReadAsk, ReadTold]()
	link.Pair[ListAsk, ListTold]()
	link.Pair[FormAsk, FormTold]()
	link.Pair[SealAsk, SealTold]()
	link.Pair[JoinAsk, JoinTold]()
	link.Pair[LiftAsk, LiftTold]()
	link.Pair[MergeAsk, MergeTold]()
	link.Pair[MergedAsk, MergedTold]()
	link.Pair[OfferAsk, OfferTold]()
	link.Pair[DecideAsk, DecideTold]()
	link.Pair[TraceAsk, TraceTold]()
	link.Pair[RecordsAsk, RecordsTold]()
	link.Pair[HelloAsk, CoreTold]()
}
