package quorum

import "walkrudder/internal/link"

func init() {
	link.RegisterPair[PrepareAsk, PrepareTold]()
	link.RegisterPair[AcceptAsk, AcceptTold]()
	link.RegisterPair[ReadAsk, ReadTold]()
	link.RegisterPair[ListAsk, ListTold]()
	link.RegisterPair[FormAsk, FormTold]()
	link.RegisterPair[SealAsk, SealTold]()
	link.RegisterPair[JoinAsk, JoinTold]()
	link.RegisterPair[LiftAsk, LiftTold]()
	link.RegisterPair[MergeAsk, MergeTold]()
	link.RegisterPair[MergedAsk, MergedTold]()
	link.RegisterPair[OfferAsk, OfferTold]()
	link.RegisterPair[DecideAsk, DecideTold]()
	link.RegisterPair[TraceAsk, TraceTold]()
	link.RegisterPair[RecordsAsk, RecordsTold]()
	link.RegisterPair[HelloAsk, CoreTold]()
}
