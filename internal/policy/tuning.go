package policy

// Tuning holds the constants of the decisions, so that a measurement can vary
// them; DefaultTuning tells the values that measurements chose.
type Tuning struct {
	CostReserve       float64 // share of memory kept free of costly work
	NewestFirstCost   float64 // seconds of cost above which the newest goes first
	ReserveHalfCost   float64 // seconds of cost at which half of that is kept
	MaxUsedShare      float64 // share of memory in use above which nothing starts
	TargetStepSeconds float64 // seconds between tokens
	ZMax              float64 // largest number of standard deviations kept free
	ZMin              float64 // smallest
	ZPreemption       float64 // added per preemption seen
	ZDecayPerSecond   float64 // share by which z falls back to ZMin each second
}

// DefaultTuning returns the values that measurements chose.
func DefaultTuning() Tuning {
	return Tuning{
		CostReserve: 0.2, NewestFirstCost: 1, ReserveHalfCost: 2, MaxUsedShare: 0.98, TargetStepSeconds: 0.04,
		ZMax: 4, ZMin: 0.4, ZPreemption: 0.1, ZDecayPerSecond: 0.02,
	}
}
