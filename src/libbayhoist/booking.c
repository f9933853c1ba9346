/* SPDX-License-Identifier: BSD-3-Clause */
/* Booked starts of long prompts. */
#include "booking.h"

#include "start_forecast.h"

/* Interval between two forecasts, unless an engine was lost: short beside the seconds for which the callers
 * of long prompts wait. */
#define UPDATE_PERIOD_US_ (200 * BH__MS_US)
/* Steps of a forecast: a share of the time from its start, but no less than the first one. */
#define STEP_MIN_US_ (20 * BH__MS_US)
#define STEP_SHARE_ 0.08
#define FAILURES_PER_STEP_ 2 /* asks that find no place before a step ends; larger ones would find none */
/* A start is kept, and a booking not moved, within this share of the wait that was booked plus this margin.
 */
#define TOLERANCE_SHARE_ 0.1
#define TOLERANCE_MARGIN_US_ (50 * BH__MS_US)
/* Forecasts in a row that find no start before the ask is refused: the streams of short prompts come and go,
 * and a few forecasts may fall on a bad moment. After the loss of an engine one forecast suffices. */
#define MISSES_MAX_ 4
/* Time after which a caller that was expected back does not come any more. */
#define RETURN_GRACE_US_ (600 * BH__MS_US)
#define BOOKINGS_MAX_ 128 /* further long prompts wait without a booking */

const char *const BH__BookingEventString[] = {"booked", "moved", "kept", "missed", "withdrawn"};

/* The booking of one ask. All times are absolute. */
typedef struct {
	BH__WaitingAsk waiting;
	uint64_t from_us;     /* when it may start at the earliest: later than now if the caller is away */
	uint64_t booked_us;   /* time of the first booking; 0: none yet */
	uint64_t first_us;    /* the start that was booked first */
	uint64_t start_us;    /* the start that is booked now, or BH__START_NEVER */
	uint64_t forecast_us; /* result of the latest forecast */
	unsigned misses;      /* forecasts in a row that found no start */
	bool is_away;         /* refused; its caller is expected back at `from_us` */
} Booking_;

struct BH__BookingTable {
	GPtrArray *bookings; /* Booking_ */
	uint64_t updated_us;
	bool update_requested;
	uint64_t long_stream_us; /* mean duration of long prompts' streams */
	BH__BookingCounters counters;
};

static Booking_ *find_(const BH__BookingTable *t, uint64_t ask_id);
static void remove_ended_(BH__BookingTable *t, const GPtrArray *waiting, uint64_t now_us);
static bool is_waiting_(const GPtrArray *waiting, uint64_t ask_id);
static void add_missing_(BH__BookingTable *t, const BH__EngineModel *m, const GPtrArray *waiting);
static void insert_(BH__BookingTable *t, const BH__EngineModel *m, const BH__WaitingAsk *w);
static void forecast_(BH__BookingTable *t, const BH__EngineModel *m, const GPtrArray *engines,
					  const BH__LongWork *long_work, uint64_t now_us);
static uint64_t last_start_us_(const Booking_ *b);
static unsigned place_step_(BH__BookingTable *t, BH__StartForecast *f, const BH__EngineModel *m, bool late,
							uint64_t at_us);
static void set_start_(BH__BookingTable *t, Booking_ *b, bool engines_changed, BH__PlannerPort *port,
					   uint64_t now_us);
static bool is_near_(uint64_t a_us, uint64_t b_us, uint64_t booked_us);
static void tell_(const Booking_ *b, BH__BookingEvent event, BH__PlannerPort *port, uint64_t now_us);

BH__BookingTable *bh__booking_table_new(void)
{
	BH__BookingTable *t = g_new0(BH__BookingTable, 1);

	t->bookings = g_ptr_array_new_with_free_func(g_free);
	return t;
}

void bh__booking_table_delete(BH__BookingTable *t)
{
	g_ptr_array_unref(t->bookings);
	g_free(t);
}

/* Returns the booking of an ask, or NULL if it has none. */
static Booking_ *find_(const BH__BookingTable *t, uint64_t ask_id)
{
	for (guint i = 0; i < t->bookings->len; i++) {
		Booking_ *b = g_ptr_array_index(t->bookings, i);
		if (b->waiting.ask.ask_id == ask_id)
			return b;
	}
	return NULL;
}

/* Records the duration of a long prompt's stream that has ended. */
void bh__booking_table_note_stream(BH__BookingTable *t, uint64_t duration_us)
{
	t->long_stream_us = t->long_stream_us ? (t->long_stream_us * 7 + duration_us) / 8 : duration_us;
}

/* Makes the next update run at once, because an engine has come, left or failed. */
void bh__booking_table_request_update(BH__BookingTable *t)
{
	t->update_requested = true;
}

/* Forecasts the starts of the long prompts in `waiting`, the planner's queue of BH__WaitingAsk, and books
 * them. Runs every UPDATE_PERIOD_US_ and after a request. Returns true if it ran. */
bool bh__booking_table_update(BH__BookingTable *t, const BH__EngineModel *m, const GPtrArray *engines,
							  const BH__LongWork *long_work, const GPtrArray *waiting, BH__PlannerPort *port,
							  uint64_t now_us)
{
	bool engines_changed = t->update_requested;

	if (!t->update_requested && t->updated_us && now_us < t->updated_us + UPDATE_PERIOD_US_)
		return false;
	remove_ended_(t, waiting, now_us);
	add_missing_(t, m, waiting);
	t->update_requested = false;
	if (!t->bookings->len)
		return false;
	t->updated_us = now_us;
	forecast_(t, m, engines, long_work, now_us);
	for (guint i = 0; i < t->bookings->len; i++) {
		Booking_ *b = g_ptr_array_index(t->bookings, i);
		if (!b->is_away)
			set_start_(t, b, engines_changed, port, now_us);
	}
	return true;
}

/* Removes the bookings of asks that are no longer in the queue, and of callers that have not come back. */
static void remove_ended_(BH__BookingTable *t, const GPtrArray *waiting, uint64_t now_us)
{
	for (guint i = t->bookings->len; i-- > 0;) {
		const Booking_ *b = g_ptr_array_index(t->bookings, i);
		if (b->is_away ? now_us > b->from_us + RETURN_GRACE_US_
					   : !is_waiting_(waiting, b->waiting.ask.ask_id))
			g_ptr_array_remove_index(t->bookings, i);
	}
}

static bool is_waiting_(const GPtrArray *waiting, uint64_t ask_id)
{
	for (guint i = 0; i < waiting->len; i++)
		if (((const BH__WaitingAsk *)g_ptr_array_index(waiting, i))->ask.ask_id == ask_id)
			return true;
	return false;
}

/* Adds the long prompts in the queue that are not in the table yet, up to BOOKINGS_MAX_. */
static void add_missing_(BH__BookingTable *t, const BH__EngineModel *m, const GPtrArray *waiting)
{
	for (guint i = 0; i < waiting->len && t->bookings->len < BOOKINGS_MAX_; i++) {
		const BH__WaitingAsk *w = g_ptr_array_index(waiting, i);
		if (bh__start_rules_is_long(m, w->ask.prompt_tokens, w->ask.event_gap_us) && !find_(t, w->ask.ask_id))
			insert_(t, m, w);
	}
}

/* Inserts a booking in the order in which the queue is served. */
static void insert_(BH__BookingTable *t, const BH__EngineModel *m, const BH__WaitingAsk *w)
{
	Booking_ *b = g_new0(Booking_, 1);
	guint at = 0;

	b->waiting = *w;
	b->start_us = BH__START_NEVER;
	while (at < t->bookings->len &&
		   !bh__waiting_ask_comes_before(w, &((Booking_ *)g_ptr_array_index(t->bookings, at))->waiting, m))
		at++;
	g_ptr_array_insert(t->bookings, (gint)at, b);
}

/* Returns true if `a` is placed before `b`: the shorter prompt, but of long ones that of a caller who has
 * come back at a booked time. */
bool bh__waiting_ask_comes_before(const BH__WaitingAsk *a, const BH__WaitingAsk *b, const BH__EngineModel *m)
{
	if (a->has_returned != b->has_returned &&
		bh__start_rules_is_long(m, a->ask.prompt_tokens, a->ask.event_gap_us) &&
		bh__start_rules_is_long(m, b->ask.prompt_tokens, b->ask.event_gap_us))
		return a->has_returned;
	return a->ask.prompt_tokens < b->ask.prompt_tokens;
}

/* Forecasts the start of each booking. */
static void forecast_(BH__BookingTable *t, const BH__EngineModel *m, const GPtrArray *engines,
					  const BH__LongWork *long_work, uint64_t now_us)
{
	BH__StartForecast *f = bh__start_forecast_new(m, engines, long_work, t->long_stream_us, now_us);
	uint64_t end_us = now_us;
	unsigned open = t->bookings->len;

	for (guint i = 0; i < t->bookings->len; i++) {
		Booking_ *b = g_ptr_array_index(t->bookings, i);
		b->forecast_us = BH__START_NEVER;
		end_us = MAX(end_us, last_start_us_(b));
	}
	for (uint64_t ahead_us = STEP_MIN_US_; open && now_us + ahead_us <= end_us;
		 ahead_us += MAX(STEP_MIN_US_, (uint64_t)((double)ahead_us * STEP_SHARE_))) {
		bh__start_forecast_advance(f, now_us + ahead_us);
		open -= place_step_(t, f, m, false, now_us + ahead_us);
		open -= place_step_(t, f, m, true, now_us + ahead_us);
	}
	bh__start_forecast_delete(f);
}

/* Returns the latest time at which a prompt may start before its caller is refused. */
static uint64_t last_start_us_(const Booking_ *b)
{
	uint64_t max_wait_us = bh__start_rules_max_wait_us(&b->waiting.ask);

	return b->is_away ? b->from_us + max_wait_us / 2 : b->waiting.arrived_us + max_wait_us;
}

/* Places the bookings that can start at `at_us`, either late ones or those that can be in time. Returns their
 * number. */
static unsigned place_step_(BH__BookingTable *t, BH__StartForecast *f, const BH__EngineModel *m, bool late,
							uint64_t at_us)
{
	unsigned placed = 0;
	unsigned failed = 0;

	for (guint i = 0; i < t->bookings->len && failed < FAILURES_PER_STEP_; i++) {
		Booking_ *b = g_ptr_array_index(t->bookings, i);
		if (b->forecast_us != BH__START_NEVER || at_us < b->from_us || at_us > last_start_us_(b) ||
			bh__start_rules_is_late(m, &b->waiting.ask, at_us - b->waiting.arrived_us) != late)
			continue;
		if (!bh__start_forecast_place(f, &b->waiting.ask, b->waiting.arrived_us)) {
			failed++;
			continue;
		}
		b->forecast_us = at_us;
		placed++;
	}
	return placed;
}

/* Books the start that was forecast, or moves the booking there. */
static void set_start_(BH__BookingTable *t, Booking_ *b, bool engines_changed, BH__PlannerPort *port,
					   uint64_t now_us)
{
	if (b->forecast_us == BH__START_NEVER) {
		b->misses += engines_changed ? MISSES_MAX_ : 1;
		return;
	}
	b->misses = 0;
	if (!b->booked_us) {
		b->booked_us = now_us;
		b->first_us = b->start_us = b->forecast_us;
		t->counters.booked++;
		tell_(b, BH__BOOKING_BOOKED, port, now_us);
		return;
	}
	if (is_near_(b->forecast_us, b->start_us, b->booked_us))
		return;
	b->start_us = b->forecast_us;
	t->counters.moved++;
	tell_(b, BH__BOOKING_MOVED, port, now_us);
}

/* Returns true if a start at `a_us` is what was booked for `b_us` at `booked_us`. */
static bool is_near_(uint64_t a_us, uint64_t b_us, uint64_t booked_us)
{
	uint64_t error_us = a_us > b_us ? a_us - b_us : b_us - a_us;

	return error_us <= (uint64_t)((double)(b_us - booked_us) * TOLERANCE_SHARE_) + TOLERANCE_MARGIN_US_;
}

/* Notifies the port of a change to a booking. */
static void tell_(const Booking_ *b, BH__BookingEvent event, BH__PlannerPort *port, uint64_t now_us)
{
	uint64_t start_us = b->is_away ? b->from_us : b->start_us;

	if (port->booking)
		port->booking(port, &b->waiting.ask, event,
					  start_us == BH__START_NEVER ? 0 : start_us - MIN(now_us, start_us),
					  now_us - b->waiting.arrived_us);
}

/* Returns true if an ask is known to find no place within the time that its caller waits. */
bool bh__booking_table_has_no_start(const BH__BookingTable *t, uint64_t ask_id)
{
	const Booking_ *b = find_(t, ask_id);

	return b && b->misses >= MISSES_MAX_;
}

/* Returns the start that is booked for a waiting ask, or BH__START_NEVER. */
uint64_t bh__booking_table_get_start(const BH__BookingTable *t, uint64_t ask_id)
{
	const Booking_ *b = find_(t, ask_id);

	return b && !b->is_away ? b->start_us : BH__START_NEVER;
}

/* Ends the booking of an ask that starts now. */
void bh__booking_table_process_start(BH__BookingTable *t, uint64_t ask_id, BH__PlannerPort *port,
									 uint64_t now_us)
{
	Booking_ *b = find_(t, ask_id);
	bool kept;

	if (!b)
		return;
	if (b->booked_us) {
		kept = is_near_(now_us, b->first_us, b->booked_us);
		t->counters.kept += kept;
		t->counters.missed += !kept;
		tell_(b, kept ? BH__BOOKING_KEPT : BH__BOOKING_MISSED, port, now_us);
	}
	g_ptr_array_remove(t->bookings, b);
}

/* Withdraws the booking of an ask that is refused, and books room from `return_us` on for its caller, who is
 * told to come back then. */
void bh__booking_table_withdraw(BH__BookingTable *t, uint64_t ask_id, uint64_t return_us,
								BH__PlannerPort *port, uint64_t now_us)
{
	Booking_ *b = find_(t, ask_id);

	if (!b)
		return;
	b->is_away = true;
	b->from_us = return_us;
	t->counters.withdrawn++;
	tell_(b, BH__BOOKING_WITHDRAWN, port, now_us);
}

/* Ends the booking of an ask whose caller no longer waits. */
void bh__booking_table_remove(BH__BookingTable *t, uint64_t ask_id)
{
	Booking_ *b = find_(t, ask_id);

	if (b && !b->is_away)
		g_ptr_array_remove(t->bookings, b);
}

/* Looks for the caller of a new ask among those that are expected back, which is recognised by account,
 * prompt and longest answer. Ends its absence and returns true if it is one of them. */
bool bh__booking_table_process_return(BH__BookingTable *t, const BH__Ask *ask, uint64_t now_us)
{
	for (guint i = 0; i < t->bookings->len; i++) {
		const Booking_ *b = g_ptr_array_index(t->bookings, i);
		bool is_due =
			b->is_away && now_us + RETURN_GRACE_US_ >= b->from_us && now_us <= b->from_us + RETURN_GRACE_US_;
		if (!is_due || ask->account_id != b->waiting.ask.account_id ||
			ask->prompt_tokens != b->waiting.ask.prompt_tokens ||
			ask->max_tokens != b->waiting.ask.max_tokens)
			continue;
		t->counters.returned++;
		g_ptr_array_remove_index(t->bookings, i);
		return true;
	}
	return false;
}

/* Copies the booking at `index` to `out`. Returns false if there are not as many. */
bool bh__booking_table_get(const BH__BookingTable *t, unsigned index, BH__BookingInfo *out)
{
	const Booking_ *b;

	if (index >= t->bookings->len)
		return false;
	b = g_ptr_array_index(t->bookings, index);
	*out = (BH__BookingInfo){.ask_id = b->waiting.ask.ask_id,
							 .prompt_tokens = b->waiting.ask.prompt_tokens,
							 .arrived_us = b->waiting.arrived_us,
							 .start_us = b->is_away ? b->from_us : b->start_us,
							 .is_away = b->is_away};
	return true;
}

/* Returns the number of booked starts, callers that are away included. */
unsigned bh__booking_table_get_count(const BH__BookingTable *t)
{
	unsigned count = 0;

	for (guint i = 0; i < t->bookings->len; i++) {
		const Booking_ *b = g_ptr_array_index(t->bookings, i);
		count += b->is_away || b->booked_us;
	}
	return count;
}

const BH__BookingCounters *bh__booking_table_get_counters(const BH__BookingTable *t)
{
	return &t->counters;
}
