package membership

import "walkrudder/internal/link"

func init() {
	link.Pair[RenewAsk, RenewTold]()
	link.Pair[RestAsk, RestTold]()
	link.Pair[TableAsk, TableTold]()
}
