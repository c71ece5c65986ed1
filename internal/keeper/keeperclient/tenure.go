package keeperclient

import (
	"context"

	"slateway.example/slateway/internal/keeper/keeperapi"
)

// AcquireTenure asks for a right or renews it. Only a response with a fencing
// number grants it, for the stated time from before the call.
func (c *Client) AcquireTenure(ctx context.Context, name, holder string) (*keeperapi.TenureResponse, error) {
	request := &keeperapi.TenureRequest{Name: name, Holder: holder}
	return call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.AcquireTenure, request)
}

// LeaveTenure gives a right up, so that another can have it at once.
func (c *Client) LeaveTenure(ctx context.Context, name, holder string) error {
	request := &keeperapi.TenureRequest{Name: name, Holder: holder, Leaving: true}
	_, err := call(ctx, c, keeperapi.ConfigGroup, 0, keeperapi.AcquireTenure, request)
	return err
}
