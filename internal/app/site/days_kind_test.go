package site

import (
	"flag"
	"testing"

	"github.com/cockroachdb/datadriven"
)

var (
	daysSeed  = flag.Int("days.seed", 0, "the first seed of the drawn days, with days.seeds")
	daysSeeds = flag.Int("days.seeds", 0, "how many seeds to play instead of the script's")
	daysKeep  = flag.String("days.keep", "", "a folder for the logs of days on which something is wrong")
)

// dayKind is a kind of days, with rates per thousand steps and process.
type dayKind struct {
	// Core is the number of processes with a disk, Entries that of the others, and Steps how long absences are drawn.
	Core, Entries, Steps int
	// Losses is how many disks may be lost at a time.
	Losses int
	// Freeze, Kill, Power, Cut and Reset are the rates at which processes stand still, die, lose their power, lose what they send to another one,
	// and have their connections reset.
	Freeze, Kill, Power, Cut, Reset int
	// LoseDisk and Replace are the rates at which processes with a disk come back without it, or others come in their place elsewhere.
	LoseDisk, Replace int
	// Strike is the rate per thousand steps at which all processes die, right after a change was acknowledged.
	Strike int
	// FreezeAsking is the rate per thousand steps at which the leader stands still just after a call came to it. In StandStill of a thousand absences
	// the uptime stands still as well.
	FreezeAsking, StandStill int
	// Stop is the rate at which processes are told to stop, and Split the rate per thousand steps at which the machines are cut into two halves.
	Stop, Split int
	// SnapshotRecords is the number of log entries between two snapshots.
	SnapshotRecords int
	// Accounts means that calls need keys, which change with the configuration; Large that some configurations are large.
	Accounts, Large bool
	// EndsInStrike means that the day ends with a strike.
	EndsInStrike bool
}

func parseDays(t *testing.T, d *datadriven.TestData) (kind dayKind, first, seeds int) {
	t.Helper()
	number := func(name string, value int) int {
		if d.HasArg(name) {
			d.ScanArgs(t, name, &value)
		}
		return value
	}
	kind = dayKind{
		Core: number("core", 3), Entries: number("entries", 2), Steps: number("steps", 1), Losses: number("losses", 1),
		Freeze: number("freeze", 0), FreezeAsking: number("freeze_asking", 0), StandStill: number("stand_still", 0), Kill: number("kill", 0), Power: number("power", 0), Cut: number("cut", 0), Reset: number("reset", 0),
		LoseDisk: number("lose_disk", 0), Replace: number("replace", 0), Strike: number("strike", 0), Stop: number("stop", 0), Split: number("split", 0),
		SnapshotRecords: number("snapshot_records", 2048), Accounts: number("accounts", 0) > 0, Large: number("large", 0) > 0,
		EndsInStrike: number("ends_in_strike", 0) > 0,
	}
	if *daysSeeds > 0 {
		return kind, *daysSeed, *daysSeeds
	}
	return kind, number("seed", 0), number("seeds", 1)
}
