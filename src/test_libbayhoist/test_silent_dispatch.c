/* SPDX-License-Identifier: BSD-3-Clause */
/* Streams whose engines fall silent, on virtual time: nodes look at their dispatches as the gateway does.
 * Guards against streams being given up because all engines paused, and against a dead engine being waited
 * for longer than one that is silent alone. */
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include "bayhoist/hash.h"
#include "bayhoist/silent_dispatch.h"

#define STEP_MS 10
#define GAP_MS 200 /* between two events of a stream */
#define SILENT_FROM_MS 3000
#define STREAM_MS 9000
#define ENGINES_MAX 60
#define STREAMS_MAX 300
#define NODES_MAX 85
#define MAX_WAIT_US (1700 * BH__MS_US)
#define BURST 20 /* retries that the service allows, shared by the nodes */

typedef struct {
	unsigned node;
	unsigned engine;
	unsigned phase_ms; /* of its events */
	uint64_t received_us;
	BH__SilentDispatch silence;
	BH__RetryState retry;
	unsigned replaced_ms; /* after the silence began; 0: never */
	bool was_denied;      /* a look found that no other dispatch may follow */
} Stream;

/* A service as its nodes see it. */
typedef struct {
	unsigned nodes;
	unsigned engines;
	unsigned streams;
	unsigned silent_engines;
	unsigned silent_ms;
	unsigned later_ms; /* by which each engine is heard later than the one before, after the silence */
	bool engine_answers_report; /* the silent ones live, behind connections that are dead */
	bool uses_first_only;       /* all streams are at the first engine, and the others are idle */
} Case;

typedef struct {
	BH__Registry *registry[NODES_MAX];
	BH__ServiceRetryBudget budget[NODES_MAX];
	uint64_t engine_id[ENGINES_MAX];
	Stream stream[STREAMS_MAX];
	unsigned replaced;
	unsigned first_ms; /* earliest and latest replacement, after the silence began */
	unsigned last_ms;
} Run;

static void put_engines_(Run *r, const Case *c)
{
	for (unsigned n = 0; n < c->nodes; n++) {
		r->registry[n] = bh__registry_new(n + 1);
		bh__service_retry_budget_init(&r->budget[n], 0.1, BURST);
		bh__service_retry_budget_set_nodes(&r->budget[n], BURST, c->nodes);
		for (unsigned i = 0; i < c->engines; i++) {
			BH__EndpointEntry entry = {.service = "llm", .hall = "h", .slots = 16};
			g_snprintf(entry.id, sizeof entry.id, "i-%u", i);
			g_snprintf(entry.address, sizeof entry.address, "10.0.0.%u:80", i + 1);
			bh__registry_put(r->registry[n], &entry, (BH__StoreVersion){.era = 1, .revision = i + 1},
							 (BH__StoreVersion){.era = 1, .revision = i + 1});
			r->engine_id[i] = bh__registry_get(r->registry[n], i)->endpoint_id;
		}
	}
}

static void begin_streams_(Run *r, const Case *c)
{
	BH__RouteRule rule = {.retry_mode = BH__RETRY_MODE_RESUME, .max_attempts = 2};

	for (unsigned i = 0; i < c->streams; i++) {
		Stream *s = &r->stream[i];
		s->node = i % c->nodes;
		s->engine = c->uses_first_only ? 0 : (i / c->nodes + i) % c->engines;
		s->phase_ms = i * 7 % GAP_MS / STEP_MS * STEP_MS;
		bh__retry_state_init(&s->retry, &rule, STREAM_MS * BH__MS_US * 2);
		s->retry.answer_begun = true;
		s->retry.may_have_run = true;
		bh__registry_note_start(r->registry[s->node], r->engine_id[s->engine], 0);
	}
}

static bool is_silent_(const Case *c, unsigned engine, unsigned now_ms)
{
	return engine < c->silent_engines && now_ms >= SILENT_FROM_MS &&
		   now_ms < SILENT_FROM_MS + c->silent_ms + engine * c->later_ms;
}

/* An event of a stream, if one is due, or after a silence at once. */
static void receive_(Run *r, const Case *c, Stream *s, unsigned now_ms)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r->registry[s->node], r->engine_id[s->engine]);
	uint64_t now_us = now_ms * BH__MS_US;
	bool is_back = now_us >= s->received_us + GAP_MS * BH__MS_US;

	if (is_silent_(c, s->engine, now_ms) || (now_ms % GAP_MS != s->phase_ms && !is_back))
		return;
	s->received_us = now_us;
	bh__silence_note_heard(&e->silence, now_us);
}

/* Looks at a stream as the gateway does. One that is replaced goes on elsewhere at once. */
static void look_(Run *r, const Case *c, Stream *s, unsigned now_ms)
{
	BH__RegisteredEndpoint *e = bh__registry_find(r->registry[s->node], r->engine_id[s->engine]);
	BH__ServiceRetryBudget *budget = &r->budget[s->node];
	uint64_t now_us = now_ms * BH__MS_US;
	BH__SilenceEvidence evidence;
	BH__SilentDispatchAction action;

	if (c->engine_answers_report && is_silent_(c, s->engine, now_ms) &&
		now_us == bh__silent_dispatch_get_probe_us(s->received_us, MAX_WAIT_US))
		bh__silence_note_heard(&e->silence, now_us);
	if (now_us < bh__silent_dispatch_get_due_us(&s->silence, s->received_us, MAX_WAIT_US))
		return;
	s->silence.looked_us = now_us;
	if (now_us < s->received_us + MAX_WAIT_US)
		return;
	bh__silence_evidence_collect(&evidence, r->registry[s->node], e, s->received_us, MAX_WAIT_US, now_us);
	action = bh__silent_dispatch_decide(&s->silence, &evidence, MAX_WAIT_US, &s->retry, budget, now_us);
	s->was_denied |= action == BH__SILENT_DISPATCH_NO_RETRY;
	if (action != BH__SILENT_DISPATCH_REPLACE)
		return;
	assert_int_equal(bh__retry_state_process_end(&s->retry, BH__DISPATCH_UNRESPONSIVE, budget, now_us),
					 BH__NEXT_ACTION_RESUME);
	bh__registry_note_end(r->registry[s->node], e->endpoint_id, e->incarnation, BH__ENDPOINT_OUTCOME_FAILED,
						  now_us);
	s->engine = c->engines - 1;
	s->received_us = now_us;
	s->silence = (BH__SilentDispatch){0};
	bh__registry_note_start(r->registry[s->node], r->engine_id[s->engine], now_us);
	s->replaced_ms = now_ms - SILENT_FROM_MS;
	r->first_ms = r->replaced++ ? MIN(r->first_ms, s->replaced_ms) : s->replaced_ms;
	r->last_ms = MAX(r->last_ms, s->replaced_ms);
}

static Run *play_(const Case *c)
{
	Run *r = g_new0(Run, 1);

	put_engines_(r, c);
	begin_streams_(r, c);
	for (unsigned now_ms = STEP_MS; now_ms < STREAM_MS; now_ms += STEP_MS) {
		for (unsigned i = 0; i < c->streams; i++)
			receive_(r, c, &r->stream[i], now_ms);
		for (unsigned i = 0; i < c->streams; i++)
			look_(r, c, &r->stream[i], now_ms);
	}
	return r;
}

static void delete_(Run *r, const Case *c)
{
	for (unsigned n = 0; n < c->nodes; n++)
		bh__registry_delete(r->registry[n]);
	g_free(r);
}

/* Streams of all sizes of fleets, and silences of all engines up to the longest that a sound engine keeps.
 * With a single stream at a node nothing can be compared, so that it may go on elsewhere. */
static void test_none_is_given_up_while_all_engines_are_silent(void **state)
{
	static const unsigned Nodes[] = {3, 9, 85};
	static const unsigned Streams[] = {12, 30, 60, 300};
	static const unsigned Silent_ms[] = {500, 1000, 1300, 1600, 2000, 3000};

	(void)state;
	for (unsigned n = 0; n < G_N_ELEMENTS(Nodes); n++) {
		for (unsigned s = 0; s < G_N_ELEMENTS(Streams); s++) {
			for (unsigned t = 0; t < G_N_ELEMENTS(Silent_ms); t++) {
				unsigned engines = Nodes[n] == 3 ? 3 : Nodes[n] == 9 ? 18 : ENGINES_MAX;
				Case c = {.nodes = Nodes[n],
						  .engines = engines,
						  .streams = Streams[s],
						  .silent_engines = engines,
						  .silent_ms = Silent_ms[t]};
				Run *r = play_(&c);
				if (Streams[s] >= Nodes[n] * 2)
					assert_int_equal(r->replaced, 0);
				else
					assert_true(r->replaced <= Streams[s]);
				delete_(r, &c);
			}
		}
	}
}

/* The engines of a fleet are not heard again in the same moment. All silences are long enough for each stream
 * to be overdue; an engine that is silent for that long while others are heard is left as a dead one. */
static void test_none_is_given_up_as_engines_come_back_one_by_one(void **state)
{
	(void)state;
	for (unsigned silent_ms = 1700 + GAP_MS; silent_ms <= 3000; silent_ms += STEP_MS) {
		Case c = {.nodes = 3,
				  .engines = 3,
				  .streams = 60,
				  .silent_engines = 3,
				  .silent_ms = silent_ms,
				  .later_ms = 300};
		Run *r = play_(&c);
		assert_int_equal(r->replaced, 0);
		delete_(r, &c);
	}
}

/* A dead engine among others is left after the wait, as long as the budget has retries, by each node. */
static void test_a_dead_engine_is_left_after_its_wait(void **state)
{
	Case c = {.nodes = 3, .engines = 3, .streams = 30, .silent_engines = 1, .silent_ms = STREAM_MS};
	Run *r = play_(&c);
	unsigned denied = 0;
	unsigned on_it = 0;

	(void)state;
	for (unsigned i = 0; i < c.streams; i++) {
		on_it += r->stream[i].replaced_ms || r->stream[i].engine == 0;
		denied += r->stream[i].was_denied;
	}
	assert_true(r->replaced > 0);
	assert_int_equal(r->replaced + denied, on_it);
	assert_true(r->first_ms >= 1700 - GAP_MS);
	assert_true(r->last_ms <= 1700);
	delete_(r, &c);
}

/* Streams that are all at a dead engine go on at an idle one. That has sent nothing yet when the next of them
 * is looked at, which does not show that it is silent as well. */
static void test_a_dead_engine_beside_idle_ones_is_left_after_its_wait(void **state)
{
	static const unsigned Streams[] = {2, 4, 12};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Streams); i++) {
		Case c = {.nodes = 1,
				  .engines = 3,
				  .streams = Streams[i],
				  .silent_engines = 1,
				  .silent_ms = STREAM_MS,
				  .uses_first_only = true};
		Run *r = play_(&c);
		assert_int_equal(r->replaced, Streams[i]);
		assert_true(r->last_ms <= 1700);
		delete_(r, &c);
	}
}

/* Connections that are dead while their engines live: all are silent, and each answers a new one. */
static void test_streams_on_dead_connections_go_on_after_their_wait(void **state)
{
	Case c = {.nodes = 3,
			  .engines = 3,
			  .streams = 9,
			  .silent_engines = 3,
			  .silent_ms = STREAM_MS,
			  .engine_answers_report = true};
	Run *r = play_(&c);

	(void)state;
	assert_int_equal(r->replaced, 9);
	assert_true(r->last_ms <= 1700);
	delete_(r, &c);
}

/* Each row: what is observed, and what is done. */
static void test_decisions(void **state)
{
	static const struct {
		BH__SilenceEvidence evidence;
		unsigned max_attempts;
		double retries_left;
		BH__SilentDispatchAction action;
	} Rows[] = {
		{{0}, 2, 4, BH__SILENT_DISPATCH_REPLACE}, /* nothing to compare it with */
		{{.silent = 1}, 2, 4, BH__SILENT_DISPATCH_ALL_SILENT},
		{{.silent = 17}, 3, 4, BH__SILENT_DISPATCH_ALL_SILENT},
		{{.heard = 1}, 2, 4, BH__SILENT_DISPATCH_REPLACE},
		{{.heard = 1, .silent = 17}, 2, 4, BH__SILENT_DISPATCH_REPLACE},
		{{.silent = 2, .is_endpoint_heard = true}, 2, 4, BH__SILENT_DISPATCH_REPLACE},
		{{.silent = 2, .is_own_fault = true}, 2, 4, BH__SILENT_DISPATCH_REPLACE},
		{{.heard = 1}, 1, 4, BH__SILENT_DISPATCH_NO_RETRY},
		{{.heard = 1}, 2, 0.9, BH__SILENT_DISPATCH_NO_RETRY},
		{{.silent = 2, .is_own_fault = true}, 2, 0.9, BH__SILENT_DISPATCH_NO_RETRY},
	};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Rows); i++) {
		BH__RouteRule rule = {.retry_mode = BH__RETRY_MODE_RESUME, .max_attempts = Rows[i].max_attempts};
		BH__ServiceRetryBudget budget = {.level = Rows[i].retries_left, .max = 10};
		BH__SilentDispatch silence = {0};
		BH__RetryState retry;
		bh__retry_state_init(&retry, &rule, STREAM_MS * BH__MS_US);
		retry.answer_begun = true;
		assert_int_equal(
			bh__silent_dispatch_decide(&silence, &Rows[i].evidence, MAX_WAIT_US, &retry, &budget, 1),
			Rows[i].action);
	}
}

/* A retry that was taken for a search without a result is there again, and never more than the maximum. */
static void test_an_unused_retry_is_returned(void **state)
{
	BH__ServiceRetryBudget budget;

	(void)state;
	bh__service_retry_budget_init(&budget, 0.1, 4);
	for (unsigned i = 0; i < 50; i++) {
		assert_true(bh__service_retry_budget_take(&budget));
		bh__service_retry_budget_return(&budget);
	}
	bh__service_retry_budget_return(&budget);
	assert_true(budget.level <= budget.max);
	assert_true(bh__service_retry_budget_take(&budget));
	assert_true(bh__service_retry_budget_take(&budget));
	assert_false(bh__service_retry_budget_take(&budget));
}

/* A retry that was taken for a search is the dispatch's when an engine has been granted, also if nodes that
 * came meanwhile have made the budget's maximum smaller than one. */
static void test_a_retry_taken_for_a_search_is_used_whatever_nodes_come(void **state)
{
	BH__RouteRule rule = {.retry_mode = BH__RETRY_MODE_RESUME, .max_attempts = 2};
	BH__ServiceRetryBudget budget;
	BH__RetryState retry;

	(void)state;
	bh__service_retry_budget_init(&budget, 0.1, BURST);
	bh__service_retry_budget_set_nodes(&budget, BURST, 13);
	bh__retry_state_init(&retry, &rule, STREAM_MS * BH__MS_US);
	retry.answer_begun = true;
	assert_true(bh__service_retry_budget_take(&budget));
	bh__service_retry_budget_set_nodes(&budget, BURST, 15);
	retry.has_retry = true;
	assert_int_equal(bh__retry_state_process_end(&retry, BH__DISPATCH_UNRESPONSIVE, &budget, 1),
					 BH__NEXT_ACTION_RESUME);
	assert_int_equal(budget.spent, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_none_is_given_up_while_all_engines_are_silent),
		cmocka_unit_test(test_none_is_given_up_as_engines_come_back_one_by_one),
		cmocka_unit_test(test_a_dead_engine_is_left_after_its_wait),
		cmocka_unit_test(test_a_dead_engine_beside_idle_ones_is_left_after_its_wait),
		cmocka_unit_test(test_streams_on_dead_connections_go_on_after_their_wait),
		cmocka_unit_test(test_decisions),
		cmocka_unit_test(test_an_unused_retry_is_returned),
		cmocka_unit_test(test_a_retry_taken_for_a_search_is_used_whatever_nodes_come),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
