package rollout

import "walkrudder/internal/link"

func init() {
	link.RegisterPair[StageAsk, GatewayTold]()
	link.Register[HoldAsk]()
	link.Register[FreeAsk]()
	link.Register[FlipAsk]()
	link.Register[CountAsk]()
	link.RegisterPair[ConfirmAsk, ConfirmTold]()
	link.RegisterPair[LastAsk, LastTold]()
	link.RegisterPair[PartAsk, PartTold]()
}
