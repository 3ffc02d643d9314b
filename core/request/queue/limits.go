package queue

// Limits bound a queue; fields that are zero take a default.
type Limits struct {
	// Slots is how many requests may run at once.
	Slots int
	// Reserve is how many of the slots are reserved for workspaces that run no more than their
	// fair share; by default an eighth.
	Reserve int
	// Items and Tokens bound the waiting requests; a single request that costs more than Tokens
	// is accepted when nothing else waits.
	Items  int
	Tokens int64
	// WorkspaceItems and WorkspaceTokens bound the waiting requests of one workspace in one
	// class; by default a quarter of the total.
	WorkspaceItems  int
	WorkspaceTokens int64
	// UrgentShare and NormalShare, between 0 and 1, are the parts of the
	// service that the class may take while a lower one waits.
	UrgentShare float64
	NormalShare float64
	// Burst is how far a class may run ahead of its share, in tokens.
	Burst int64
	// Rate is the initial estimate of the service rate in tokens a second.
	Rate float64
}

func (l Limits) withDefaults() Limits {
	l.Slots = orDefault(l.Slots, defaultSlots)
	l.Reserve = orDefault(l.Reserve, l.Slots/reserveDivisor)
	l.Items = orDefault(l.Items, defaultItems)
	l.Tokens = orDefault(l.Tokens, defaultTokens)
	l.WorkspaceItems = orDefault(l.WorkspaceItems, max(1, l.Items/workspaceDivisor))
	l.WorkspaceTokens = orDefault(l.WorkspaceTokens, max(1, l.Tokens/workspaceDivisor))
	l.Burst = orDefault(l.Burst, max(1, l.Tokens/burstDivisor))
	l.Rate = orDefault(l.Rate, defaultRate)
	l.UrgentShare = shareOrDefault(l.UrgentShare, defaultUrgentShare)
	l.NormalShare = shareOrDefault(l.NormalShare, defaultNormalShare)
	return l
}

func orDefault[T int | int64 | float64](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

func shareOrDefault(v, def float64) float64 {
	if v > 0 && v < 1 {
		return v
	}
	return def
}
