package routed

import "time"

// Faults are the switches of the stand-in.
type Faults struct {
	Body       string        // of answers that are no streams
	BreakAfter int           // streams break off in the middle of an event after that many
	CrashAfter time.Duration // from the start of a run that ends the engine until it does
	FailCopies int           // status of the next copies, 0 for none
	Gap        bool          // streams leave out their third event
	LateStops  time.Duration // after which an order to stop a run is looked at
	LoseCopies bool          // copies are made and their answers lost
	MuteAfter  int           // streams go silent after that many events, 0 for never
	OtherEcho  bool          // answers name another request
	Refuse     int           // status of answers that say that nothing ran, 0 for none
	Repeat     bool          // a run that is taken up sends the last event of its caller again
	Rest       time.Duration // that is asked for with answers that say that nothing ran, 0 for none
	Silent     bool          // nothing is answered
	Spoil      bool          // streams have a third event whose id is no number
	Status     int           // of answers in place of 200, 0 for none
	Unsigned   bool          // answers lack the engine's mark
}
