package cwpeer

import "go.uber.org/zap"

func zapPeer(address string) zap.Field {
	return zap.String("peer", address)
}

func zapError(err error) zap.Field {
	return zap.Error(err)
}
