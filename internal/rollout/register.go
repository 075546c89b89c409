package rollout

import "walkrudder/internal/link"

func init() {
	link.Pair[StageAsk, GatewayTold]()
	link.Register[HoldAsk]()
	link.Register[FreeAsk]()
	link.Register[FlipAsk]()
	link.Register[CountAsk]()
	link.Pair[ConfirmAsk, ConfirmTold]()
	link.Pair[LastAsk, LastTold]()
	link.Pair[PartAsk, PartTold]()
}
