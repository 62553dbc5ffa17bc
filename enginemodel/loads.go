package enginemodel

import "time"

// hooflineLarge is the large Hoofline installation on a calm day, by its users' sheet.
func hooflineLarge() Load {
	return Load{
		Name: "calm", Engines: 160, Routers: 295, LoadAge: 300 * time.Millisecond, Length: 20 * time.Second,
		Engine: Engine{
			Slots: 64, Queue: 192, StepTime: 5950 * time.Microsecond, StepTimePerRequest: 44500 * time.Nanosecond,
			PrefillTokensPerMs: 50.7, ChunkTokens: 1024, CacheTokens: 362984, EventTokens: 7,
		},
		Kinds: []Kind{
			{Name: "round-plan", Rate: 362, Shared: []Part{{Tokens: 2520, Things: 4}, {Tokens: 6100, Things: 821}}, OwnTokens: 580,
				OutputTokens: 52, Aim: 600 * time.Millisecond, Deadline: 6 * time.Second},
			{Name: "visit-summary", Rate: 422, Shared: []Part{{Tokens: 341, Things: 80}, {Tokens: 1700, Things: 638}}, OwnTokens: 360,
				OutputTokens: 22, Aim: 500 * time.Millisecond, Deadline: 4 * time.Second},
			{Name: "aftercare-chat", Rate: 241, Shared: []Part{{Tokens: 103, Things: 160}, {Tokens: 500, Things: 547}}, OwnTokens: 110,
				OutputTokens: 280, Aim: 400 * time.Millisecond, Deadline: 15 * time.Second},
		},
	}
}

// vineyards is an installation with 90 uneven engines behind 23 routers, by its users' sheet.
func vineyards() Load {
	return Load{
		Name: "uneven", Engines: 90, Routers: 23, LoadAge: 250 * time.Millisecond, Length: 20 * time.Second,
		Engine: Engine{
			Slots: 64, Queue: 192, StepTime: 3400 * time.Microsecond, StepTimePerRequest: 17 * time.Microsecond,
			PrefillTokensPerMs: 44.2, ChunkTokens: 2048, CacheTokens: 298449, EventTokens: 8,
		},
		Kinds: []Kind{
			{Name: "block-history-review", Rate: 137, Shared: []Part{{Tokens: 2520, Things: 4}, {Tokens: 6100, Things: 354}}, OwnTokens: 580,
				OutputTokens: 52, Aim: 600 * time.Millisecond, Deadline: 4 * time.Second},
			{Name: "daily-bin-summary", Rate: 177, Shared: []Part{{Tokens: 341, Things: 80}, {Tokens: 1700, Things: 303}}, OwnTokens: 360,
				OutputTokens: 23, Aim: 500 * time.Millisecond, Deadline: 3 * time.Second},
			{Name: "row-question", Rate: 168, Shared: []Part{{Tokens: 103, Things: 16}, {Tokens: 500, Things: 288}}, OwnTokens: 110,
				OutputTokens: 280, Aim: 400 * time.Millisecond, Deadline: 12 * time.Second},
		},
		Noise: Noise{Share: 0.15, Factor: 2.5, Every: 600 * time.Millisecond},
	}
}

// windFarms is an installation with 140 engines of 32 slots behind 60 routers, by its users' sheet.
func windFarms() Load {
	return Load{
		Name: "long-and-short", Engines: 140, Routers: 60, LoadAge: 250 * time.Millisecond, Length: 20 * time.Second,
		Engine: Engine{
			Slots: 32, Queue: 96, StepTime: 6270 * time.Microsecond, StepTimePerRequest: 35800 * time.Nanosecond,
			PrefillTokensPerMs: 39.3, ChunkTokens: 4096, CacheTokens: 228862, EventTokens: 5,
		},
		Kinds: []Kind{
			{Name: "fault-history", Rate: 216, Shared: []Part{{Tokens: 2520, Things: 4}, {Tokens: 6100, Things: 327}}, OwnTokens: 580,
				OutputTokens: 50, Aim: 800 * time.Millisecond, Deadline: 6 * time.Second},
			{Name: "handover-note", Rate: 259, Shared: []Part{{Tokens: 341, Things: 40}, {Tokens: 1700, Things: 587}}, OwnTokens: 360,
				OutputTokens: 25, Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second},
			{Name: "alarm-explain", Rate: 124, Shared: []Part{{Tokens: 103, Things: 80}, {Tokens: 500, Things: 423}}, OwnTokens: 110,
				OutputTokens: 280, Aim: 500 * time.Millisecond, Deadline: 15 * time.Second},
		},
	}
}

// Loads returns the loads that experiments can play: the large Hoofline installation on a calm day, in a
// surge of callers, with a crash of a sixth of its engines, with a prompt that becomes hot, and while a
// quarter of its engines are replaced; and one with uneven engines, and one with long prompts beside short ones.
func Loads() []Load {
	calm, surge, crash, hot, release := hooflineLarge(), hooflineLarge(), hooflineLarge(), hooflineLarge(), hooflineLarge()
	surge.Name, surge.Surge = "surge", Surge{At: 10 * time.Second, Length: 3 * time.Second, Factor: 1.7}
	crash.Name, crash.Crash = "crash", Crash{At: 10 * time.Second, Length: 4500 * time.Millisecond, Share: 0.17}
	hot.Name, hot.Hot = "hot-prompt", HotPrompt{At: 10 * time.Second, Length: 5500 * time.Millisecond, Kind: "visit-summary", Share: 0.28}
	release.Name, release.Release = "release", Release{At: 8 * time.Second, Gap: 250 * time.Millisecond, Share: 0.25}
	return []Load{calm, surge, crash, hot, release, vineyards(), windFarms()}
}
