package keeperclient

import (
	"context"

	"slateway.example/slateway/internal/keeper/keeperapi"
)

// AcquireTenure acquires or renews a tenure, an exclusive right. The holder has it
// only if the response contains a fencing number, and for the lease in the response,
// counted from before the call.
func (c *Client) AcquireTenure(ctx context.Context, name, holder string) (*keeperapi.TenureResponse, error) {
	request := &keeperapi.TenureRequest{Name: name, Holder: holder}
	return call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.AcquireTenure, request)
}

// ReleaseTenure releases a tenure, so that another holder can acquire it at once.
func (c *Client) ReleaseTenure(ctx context.Context, name, holder string) error {
	request := &keeperapi.TenureRequest{Name: name, Holder: holder, Leaving: true}
	_, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.AcquireTenure, request)
	return err
}
