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
	// PlatformVMsPath is where the platform tells of its VMs.
	PlatformVMsPath = "/v1/vms"
	// PlatformOperationsPath is where the platform takes operations.
	PlatformOperationsPath = "/v1/operations"
	platformTimeout        = 2 * time.Second
	// platformLimit bounds an answer of the platform, in bytes.
	platformLimit = 16 << 20
)

// Platform calls the platform's interface; one goroutine uses it at a time.
type Platform struct {
	client   *http.Client
	address  string
	sequence uint64
	machines map[string]fleet.PlatformVM
}

// NewPlatform returns a client of the platform at a base URL.
func NewPlatform(address string) *Platform {
	return &Platform{client: &http.Client{Timeout: platformTimeout}, address: strings.TrimSuffix(address, "/"), machines: map[string]fleet.PlatformVM{}}
}

// Machines returns all VMs by name; only what changed since the last call is fetched.
func (p *Platform) Machines(ctx context.Context) ([]fleet.PlatformVM, error) {
	var answer peer.PlatformVms
	url := fmt.Sprintf("%s%s?since=%d", p.address, PlatformVMsPath, p.sequence)
	if err := p.call(ctx, http.MethodGet, url, nil, &answer); err != nil {
		return nil, err
	}
	if answer.GetSequence() < p.sequence {
		// The platform has started over and tells of all its VMs next time.
		p.sequence = 0
		p.machines = map[string]fleet.PlatformVM{}
		return p.Machines(ctx)
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

// Do starts an operation, or finds out how far it is where it was started before.
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
			return errors.Wrap(err, "encode for the platform")
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, platformLimit))
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		return errors.Wrap(err, "read the platform's answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the platform answered %s", response.Status)
	}
	return errors.Wrap(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(answer, out), "decode the platform's answer")
}
