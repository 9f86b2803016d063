package dial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

const (
	// PlatformVMsPath is the path at which the platform lists its VMs.
	PlatformVMsPath = "/v1/vms"
	// PlatformOperationsPath is the path at which the platform accepts operations.
	PlatformOperationsPath = "/v1/operations"
	platformTimeout        = 2 * time.Second
	// maxAnswerBytes bounds the body of a response from the platform.
	maxAnswerBytes = 16 << 20
)

// Platform is a client of the platform's HTTP API. It is not safe for concurrent use.
type Platform struct {
	client  *http.Client
	address string
	// sequence is the sequence number of the last response to VMs.
	sequence uint64
	machines map[string]fleet.PlatformVM
}

// NewPlatform returns a client of the platform at a base URL.
func NewPlatform(address string) *Platform {
	return &Platform{client: &http.Client{Timeout: platformTimeout}, address: strings.TrimSuffix(address, "/"), machines: map[string]fleet.PlatformVM{}}
}

// VMs returns all VMs sorted by name. It fetches only the changes since the last call.
func (p *Platform) VMs(ctx context.Context) ([]fleet.PlatformVM, error) {
	var answer peer.PlatformVms
	url := fmt.Sprintf("%s%s?since=%d", p.address, PlatformVMsPath, p.sequence)
	if err := p.call(ctx, http.MethodGet, url, nil, &answer); err != nil {
		return nil, err
	}
	if answer.GetSequence() < p.sequence {
		// The platform restarted its sequence numbers, so all VMs are fetched again.
		p.sequence = 0
		p.machines = map[string]fleet.PlatformVM{}
		return p.VMs(ctx)
	}
	p.sequence = answer.GetSequence()
	for _, w := range answer.GetVms() {
		p.machines[w.GetName()] = codec.PlatformVMFromWire(w)
	}
	machines := make([]fleet.PlatformVM, 0, len(p.machines))
	for _, m := range p.machines {
		machines = append(machines, m)
	}
	slices.SortFunc(machines, func(a, b fleet.PlatformVM) int { return strings.Compare(a.Name, b.Name) })
	return machines, nil
}

// Do starts an operation and returns its state. For an operation that was started before, it returns the present
// state.
func (p *Platform) Do(ctx context.Context, o fleet.Operation) (fleet.OperationState, error) {
	var answer peer.PlatformState
	if err := p.call(ctx, http.MethodPut, p.address+PlatformOperationsPath, codec.OperationToWire(o), &answer); err != nil {
		return 0, err
	}
	state := codec.OperationStateFromWire(&answer)
	if state == 0 {
		return 0, errors.Newf("the platform answered with the unknown state %q", answer.GetState())
	}
	return state, nil
}

func (p *Platform) call(ctx context.Context, method, url string, in, out proto.Message) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = (protojson.MarshalOptions{UseProtoNames: true}).Marshal(in); err != nil {
			return errors.Wrap(err, "encode platform request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := p.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		return errors.Wrap(err, "read the platform's answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the platform answered %s", response.Status)
	}
	return errors.Wrap(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(answer, out), "decode the platform's answer")
}
