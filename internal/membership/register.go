package membership

import "walkrudder/internal/link"

func init() {
	link.RegisterPair[RenewAsk, RenewTold]()
	link.RegisterPair[RestAsk, RestTold]()
	link.RegisterPair[TableAsk, TableTold]()
}
