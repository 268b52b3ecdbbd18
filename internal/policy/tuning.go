package policy

// Tuning holds the constants of the decisions, so that a measurement can vary
// them; DefaultTuning tells the values that measurements chose.
type Tuning struct {
	CostReserve  float64 // share of memory kept free of costly work
	NewestFirst  float64 // seconds of cost above which the newest goes first
	ReserveHalf  float64 // seconds of cost at which half of that is kept
	MaxUsed      float64 // share of memory in use above which nothing starts
	StepTarget   float64 // seconds between tokens
	ZMax         float64 // largest number of standard deviations kept free
	ZMin         float64 // smallest
	ZPreemption  float64 // added per preemption seen
	ZDecaySecond float64 // share by which z falls back to ZMin each second
}

// DefaultTuning returns the values that measurements chose.
func DefaultTuning() Tuning {
	return Tuning{
		CostReserve: 0.2, NewestFirst: 1, ReserveHalf: 2, MaxUsed: 0.98, StepTarget: 0.04,
		ZMax: 4, ZMin: 0.4, ZPreemption: 0.1, ZDecaySecond: 0.02,
	}
}
