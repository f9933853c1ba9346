/* SPDX-License-Identifier: BSD-3-Clause */
/* The gateway's decisions: routing, registered endpoints, sending again, events of streams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include "bayhoist/event_stream.h"
#include "bayhoist/retry_state.h"
#include "bayhoist/field.h"
#include "bayhoist/hash.h"
#include "bayhoist/name.h"
#include "bayhoist/startup_state.h"
#include "bayhoist/read_schedule.h"
#include "bayhoist/registry.h"
#include "bayhoist/planner.h"
#include "bayhoist/routing.h"
#include "bayhoist/response_monitor.h"

#define SPLITS 10000

static void add_service_(BH__Routing *r, const char *name)
{
	BH__ServiceSpec *s = bh__service_spec_new();

	g_strlcpy(s->name, name, sizeof s->name);
	bh__routing_add_service(r, s);
}

static BH__RouteRule *add_rule_(BH__Routing *r, const char *name, const char *host, const char *prefix,
								const char *service)
{
	BH__RouteRule *rule = bh__route_rule_new();

	rule->name = g_strdup(name);
	rule->host = g_strdup(host);
	rule->path_prefix = g_strdup(prefix);
	bh__route_rule_add_target(rule, service, 1);
	bh__routing_add_rule(r, rule);
	return rule;
}

static void longest_prefix_wins_(void **state)
{
	BH__Routing *r = bh__routing_new(7);

	(void)state;
	add_service_(r, "s");
	add_rule_(r, "short", "a.example", "/x/", "s");
	add_rule_(r, "long", "a.example", "/x/y/", "s");
	add_rule_(r, "other", "b.example", "/x/y/", "s");
	bh__routing_seal(r);
	assert_int_equal(bh__routing_get_refusal_count(r), 0);
	assert_string_equal(bh__routing_match(r, "a.example", "/x/y/z?q=1")->name, "long");
	assert_string_equal(bh__routing_match(r, "A.Example:8080", "/x/z")->name, "short");
	assert_string_equal(bh__routing_match(r, "b.example", "/x/y/")->name, "other");
	assert_null(bh__routing_match(r, "b.example", "/x/"));
	assert_null(bh__routing_match(r, "c.example", "/x/"));
	assert_null(bh__routing_match(r, "a.example", "/xy/"));
	bh__routing_unref(r);
}

static void a_split_keeps_its_weights_(void **state)
{
	BH__Routing *r = bh__routing_new(1);
	BH__RouteRule *rule;
	unsigned first = 0;

	(void)state;
	add_service_(r, "a");
	add_service_(r, "b");
	rule = add_rule_(r, "split", "h", "/", "a");
	rule->target[0].weight = 90;
	bh__route_rule_add_target(rule, "b", 10);
	bh__routing_seal(r);
	assert_int_equal(bh__routing_get_refusal_count(r), 0);
	for (uint64_t i = 0; i < SPLITS; i++) {
		uint64_t hash = bh__hash_pair(i, 1);
		first += !strcmp(bh__route_rule_pick_service(rule, hash), "a");
		assert_string_equal(bh__route_rule_pick_service(rule, hash), bh__route_rule_pick_service(rule, hash));
	}
	assert_in_range(first, SPLITS * 88 / 100, SPLITS * 92 / 100);
	bh__routing_unref(r);
}

/* A request of a route that is refused runs nowhere, neither by a shorter prefix nor elsewhere in the table.
 */
static void a_rule_without_its_service_is_refused_(void **state)
{
	BH__Routing *r = bh__routing_new(1);
	const BH__RouteRule *rule;
	const BH__KeyOwner *owner;

	(void)state;
	add_service_(r, "s");
	add_rule_(r, "sound", "h", "/", "s");
	add_rule_(r, "lonely", "h", "/x/", "nowhere");
	bh__routing_seal(r);
	assert_int_equal(bh__routing_get_refusal_count(r), 1);
	assert_non_null(strstr(bh__routing_get_refusal(r, 0), "lonely"));
	assert_non_null(strstr(bh__routing_get_refusal(r, 0), "nowhere"));
	assert_int_equal(bh__routing_admit(r, "h", "/x/1", "", &rule, &owner), BH__ROUTING_PART_REFUSED);
	assert_int_equal(bh__routing_admit(r, "h", "/y", "", &rule, &owner), BH__ROUTING_ADMITTED);
	assert_int_equal(bh__routing_admit(r, "g", "/y", "", &rule, &owner), BH__ROUTING_NO_ROUTE);
	bh__routing_unref(r);
}

/* A name that is cut is the name of all that begin alike. */
static void long_names_differ_as_the_names_do_(void **state)
{
	char *name = g_strnfill(100, 'a');
	char *other = g_strnfill(100, 'a');
	char out[3][BH__NAME_LEN];

	(void)state;
	other[99] = 'b';
	bh__name_fit(out[0], name);
	bh__name_fit(out[1], other);
	assert_string_not_equal(out[0], out[1]);
	bh__name_fit(out[2], out[0]); /* of a name that looks like it */
	assert_string_not_equal(out[0], out[2]);
	name[BH__NAME_LEN - 1] = '\0';
	bh__name_fit(out[0], name);
	assert_string_equal(out[0], name);
	bh__name_fit(out[0],
				 "\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303"
				 "\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303"
				 "\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251\303\251");
	assert_true(g_utf8_validate(out[0], -1, NULL));
	g_free(name);
	g_free(other);
}

static void keys_lead_to_their_owner_(void **state)
{
	BH__Routing *r = bh__routing_new(1);
	BH__KeyOwner owner = {.name = "account"};
	char *keys[] = {"k1", "k2", NULL};

	(void)state;
	assert_false(bh__routing_has_owners(r));
	bh__routing_add_owner(r, &owner, keys);
	assert_true(bh__routing_has_owners(r));
	assert_string_equal(bh__routing_find_owner(r, "k2")->name, "account");
	assert_null(bh__routing_find_owner(r, "k3"));
	bh__routing_unref(r);
}

static BH__EndpointEntry entry_(const char *id, const char *address)
{
	BH__EndpointEntry e = {.service = "s", .hall = "h1", .slots = 4};

	g_strlcpy(e.id, id, sizeof e.id);
	g_strlcpy(e.address, address, sizeof e.address);
	return e;
}

/* Returns a place in the store's history. */
static BH__StoreVersion at_(uint64_t revision)
{
	return (BH__StoreVersion){.revision = revision};
}

/* Takes an entry that was written at a revision, read with all up to there. */
static bool put_(BH__Registry *r, const BH__EndpointEntry *e, uint64_t revision)
{
	bool changes = bh__registry_put(r, e, at_(revision), at_(revision));

	bh__registry_set_store_version(r, at_(revision));
	return changes;
}

/* Takes that an endpoint's entry went at a revision. */
static void remove_(BH__Registry *r, const char *id, uint64_t revision, uint64_t gone_at_us)
{
	bh__registry_remove(r, bh__hash_name(id), at_(revision), gone_at_us, at_(revision));
	bh__registry_set_store_version(r, at_(revision));
}

/* An entry that was written before and arrives late must not bring a leaving endpoint back. */
static void draining_is_not_taken_back_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry e = entry_("i-1", "1.1.1.1:1");
	uint64_t id = bh__hash_name("i-1");

	(void)state;
	assert_true(put_(r, &e, 1));
	assert_false(put_(r, &e, 2));
	e.draining = true;
	assert_true(put_(r, &e, 3));
	e.draining = false;
	assert_false(put_(r, &e, 4));
	assert_false(bh__registered_endpoint_is_usable(bh__registry_find(r, id), 1));
	bh__registry_delete(r);
}

/* Takes a list as of a revision that names one endpoint. */
static void keep_only_(BH__Registry *r, const char *id, uint64_t revision, uint64_t gone_at_us)
{
	GHashTable *ids = g_hash_table_new(g_int64_hash, g_int64_equal);
	uint64_t hash = bh__hash_name(id);

	g_hash_table_add(ids, &hash);
	bh__registry_retain_only(r, ids, at_(revision), gone_at_us);
	bh__registry_set_store_version(r, at_(revision));
	g_hash_table_unref(ids);
}

/* After an outage an entry that is missing may come back within a grace. */
static void gone_endpoints_have_their_grace_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry a = entry_("i-1", "1.1.1.1:1");
	BH__EndpointEntry b = entry_("i-2", "1.1.1.1:2");

	(void)state;
	put_(r, &a, 1);
	put_(r, &b, 2);
	put_(r, &a, 3);
	keep_only_(r, "i-1", 4, 1000);
	bh__registry_process_tick(r, 999);
	assert_int_equal(bh__registry_get_count(r), 2);
	assert_true(put_(r, &b, 5));
	bh__registry_process_tick(r, 2000);
	assert_int_equal(bh__registry_get_count(r), 2);
	remove_(r, "i-2", 6, 3000);
	bh__registry_process_tick(r, 3000);
	assert_int_equal(bh__registry_get_count(r), 1);
	bh__registry_delete(r);
}

/* An endpoint that started again under its id was left alone for its failures of before, counted as busy with
 * requests that had died with it, and once draining never came back. */
static void an_endpoint_that_is_back_starts_anew_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry e = entry_("i-1", "1.1.1.1:1");
	BH__EndpointEntry old;
	uint64_t id = bh__hash_name("i-1");
	const BH__RegisteredEndpoint *known;
	uint64_t incarnation;

	(void)state;
	e.born_ms = 1000;
	e.draining = true;
	old = e;
	put_(r, &e, 1);
	incarnation = bh__registry_note_start(r, id, 10);
	bh__registry_note_start(r, id, 10);
	for (int i = 0; i < 5; i++)
		bh__registry_note_end(r, id, incarnation, BH__ENDPOINT_OUTCOME_FAILED, 10);
	e.born_ms = 2000;
	e.draining = false;
	assert_true(put_(r, &e, 2));
	known = bh__registry_find(r, id);
	assert_true(bh__registered_endpoint_is_usable(known, 11));
	assert_int_equal(known->in_flight, 0);
	assert_int_equal(known->failures, 0);
	assert_int_equal(known->ejected_until_us, 0);
	bh__registry_note_start(r, id, 12);
	bh__registry_note_end(r, id, incarnation, BH__ENDPOINT_OUTCOME_FAILED,
						  12); /* of a request that died with the old one */
	assert_int_equal(known->in_flight, 1);
	assert_int_equal(known->failures, 0);
	assert_false(put_(r, &old, 3)); /* written before the start, and late */
	assert_true(bh__registered_endpoint_is_usable(known, 13));
	bh__registry_delete(r);
}

static void picks_the_least_loaded_and_not_tried_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry a = entry_("i-1", "1.1.1.1:1");
	BH__EndpointEntry b = entry_("i-2", "1.1.1.1:2");
	uint64_t first = bh__hash_name("i-1");
	uint64_t second = bh__hash_name("i-2");

	(void)state;
	put_(r, &a, 1);
	put_(r, &b, 2);
	bh__registry_note_start(r, first, 1);
	assert_true(bh__registry_pick(r, "s", "h1", NULL, 0, false, 1)->endpoint_id == second);
	assert_true(bh__registry_pick(r, "s", "h1", &second, 1, false, 1)->endpoint_id == first);
	assert_null(bh__registry_pick(r, "t", "h1", NULL, 0, false, 1));
	for (int i = 0; i < 3; i++)
		bh__registry_note_end(r, second, bh__registry_find(r, second)->incarnation,
							  BH__ENDPOINT_OUTCOME_FAILED, 10);
	assert_true(bh__registry_pick(r, "s", "h1", NULL, 0, false, 11)->endpoint_id == first);
	assert_true(bh__registry_find_address(r, "1.1.1.1:2")->endpoint_id == second);
	assert_null(bh__registry_find_address(r, "1.1.1.1:3"));
	bh__registry_delete(r);
}

/* What follows the end of a sending, for each kind of request. */
static void sends_again_only_what_may_(void **state)
{
	static const struct {
		BH__RetryMode retry_mode;
		uint32_t max_attempts;
		bool answer_begun;
		BH__DispatchEnd end;
		BH__NextAction next;
	} Table[] = {
		{BH__RETRY_MODE_NEVER, 2, false, BH__DISPATCH_ANSWERED, BH__NEXT_ACTION_DONE},
		{BH__RETRY_MODE_NEVER, 2, false, BH__DISPATCH_BROKEN, BH__NEXT_ACTION_FAIL},
		{BH__RETRY_MODE_NEVER, 2, false, BH__DISPATCH_FAILED, BH__NEXT_ACTION_PASS_THROUGH},
		{BH__RETRY_MODE_NEVER, 2, false, BH__DISPATCH_REFUSED, BH__NEXT_ACTION_SEND},
		{BH__RETRY_MODE_NEVER, 1, false, BH__DISPATCH_REFUSED, BH__NEXT_ACTION_REFUSE},
		{BH__RETRY_MODE_NEVER, 1, false, BH__DISPATCH_UNREACHABLE, BH__NEXT_ACTION_SEND},
		{BH__RETRY_MODE_NEVER, 2, true, BH__DISPATCH_BROKEN, BH__NEXT_ACTION_BREAK_OFF},
		{BH__RETRY_MODE_FREELY, 2, false, BH__DISPATCH_BROKEN, BH__NEXT_ACTION_SEND},
		{BH__RETRY_MODE_FREELY, 2, false, BH__DISPATCH_FAILED, BH__NEXT_ACTION_SEND},
		{BH__RETRY_MODE_FREELY, 1, false, BH__DISPATCH_FAILED, BH__NEXT_ACTION_PASS_THROUGH},
		{BH__RETRY_MODE_FREELY, 1, false, BH__DISPATCH_UNRESPONSIVE, BH__NEXT_ACTION_TIME_OUT},
		{BH__RETRY_MODE_FREELY, 2, true, BH__DISPATCH_BROKEN, BH__NEXT_ACTION_BREAK_OFF},
		{BH__RETRY_MODE_RESUME, 2, false, BH__DISPATCH_BROKEN, BH__NEXT_ACTION_SEND},
		{BH__RETRY_MODE_RESUME, 2, true, BH__DISPATCH_BROKEN, BH__NEXT_ACTION_RESUME},
		{BH__RETRY_MODE_RESUME, 1, true, BH__DISPATCH_BROKEN, BH__NEXT_ACTION_BREAK_OFF},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Table); i++) {
		BH__RouteRule rule = {.retry_mode = Table[i].retry_mode, .max_attempts = Table[i].max_attempts};
		BH__ServiceRetryBudget budget;
		BH__RetryState x;
		bh__service_retry_budget_init(&budget, 0.2, 100);
		bh__retry_state_init(&x, &rule, BH__SECOND_US);
		x.answer_begun = Table[i].answer_begun;
		x.may_have_run = Table[i].answer_begun;
		/* what is asked ahead, by the head of a failure, is what follows */
		if (Table[i].end == BH__DISPATCH_FAILED)
			assert_int_equal(bh__retry_state_may_follow_failure(&x, &budget, 0),
							 Table[i].next == BH__NEXT_ACTION_SEND ||
								 Table[i].next == BH__NEXT_ACTION_RESUME);
		assert_int_equal(bh__retry_state_process_end(&x, Table[i].end, &budget, 0), Table[i].next);
	}
}

/* A request that may have run is never called not run, whatever comes after. */
static void may_have_run_is_not_forgotten_(void **state)
{
	BH__RouteRule rule = {.retry_mode = BH__RETRY_MODE_FREELY, .max_attempts = 2};
	BH__ServiceRetryBudget budget;
	BH__RetryState x;

	(void)state;
	bh__service_retry_budget_init(&budget, 0.2, 100);
	bh__retry_state_init(&x, &rule, BH__SECOND_US);
	assert_int_equal(bh__retry_state_process_end(&x, BH__DISPATCH_BROKEN, &budget, 0), BH__NEXT_ACTION_SEND);
	assert_int_equal(bh__retry_state_process_end(&x, BH__DISPATCH_REFUSED, &budget, 0), BH__NEXT_ACTION_FAIL);
	assert_int_equal(bh__retry_state_get_verdict(&x), BH__VERDICT_MAY_HAVE_RUN);
	assert_int_equal(bh__retry_state_process_deadline(&x), BH__NEXT_ACTION_TIME_OUT);
}

/* An engine that reads as much in one pass as it may is not silent. Where it was, an archive read on twelve
 * engines had every stream there sent again, and the engines set aside, until the rest were full. */
static void a_long_pass_is_no_silence_(void **state)
{
	BH__RouteRule page = {.target_ms = 300, .event_gap_ms = 200};
	BH__RouteRule archive = {.target_ms = 3000, .event_gap_ms = 800};

	(void)state;
	assert_true(bh__response_max_wait_us(&page, true, false) > BH__MAX_ITERATION_MS * BH__MS_US);
	assert_true(bh__response_max_wait_us(&page, true, true) > BH__MAX_ITERATION_MS * BH__MS_US);
	assert_int_equal(bh__response_max_wait_us(&archive, true, false), 6500 * BH__MS_US);
	assert_int_equal(bh__response_max_wait_us(&archive, true, true), 3200 * BH__MS_US);
	assert_int_equal(bh__response_max_wait_us(&page, false, true),
					 900 * BH__MS_US); /* plain services have no passes */
}

/* A path that loses all packets for a second breaks no stream off. The sender repeats the first lost packet
 * after 0.2 s and each time after twice as long, of which the last is 1.6 s after it was sent. */
static void a_second_without_packets_is_no_silence_(void **state)
{
	BH__RouteRule page = {.target_ms = 300, .event_gap_ms = 200};
	uint64_t repeat_us = 200 * BH__MS_US;

	(void)state;
	while (repeat_us < BH__SECOND_US)
		repeat_us *= 2;
	assert_true(bh__response_max_wait_us(&page, true, true) > repeat_us);
	assert_true(bh__response_max_wait_us(&page, true, false) > repeat_us);
}

/* A node is told what changed after the place up to which it knows all, and which endpoints went; one that
 * knows nothing, or comes from too far back for that, is told all. */
static void changes_are_told_since_a_place_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry e = {.id = "i-1", .service = "s", .address = "1.1.1.1:1"};
	GArray *facts = g_array_new(FALSE, FALSE, sizeof(BH__EndpointRecord));
	GArray *gone = g_array_new(FALSE, FALSE, sizeof(BH__EndpointDeparture));

	(void)state;
	put_(r, &e, 1);
	g_strlcpy(e.id, "i-2", sizeof e.id);
	put_(r, &e, 2);
	e.draining = true;
	put_(r, &e, 3);
	remove_(r, "i-1", 4, 5);
	bh__registry_process_tick(r, 5);
	assert_true(bh__registry_list_changes(r, at_(1), 5, facts, gone));
	assert_int_equal(facts->len, 1);
	assert_true(g_array_index(facts, BH__EndpointRecord, 0).entry.draining);
	assert_int_equal(gone->len, 1);
	assert_true(g_array_index(gone, BH__EndpointDeparture, 0).endpoint_id == bh__hash_name("i-1"));
	g_array_set_size(facts, 0);
	g_array_set_size(gone, 0);
	assert_true(bh__registry_list_changes(r, bh__registry_get_store_version(r), 5, facts, gone));
	assert_int_equal(facts->len + gone->len, 0);
	assert_true(bh__registry_list_changes(r, at_(1000), 5, facts, gone)); /* it knows more than this node */
	assert_int_equal(facts->len + gone->len, 0);
	assert_false(bh__registry_list_changes(r, at_(0), 5, facts, gone));
	for (unsigned i = 0; i < 1100; i++) {
		snprintf(e.id, sizeof e.id, "i-%u", 10 + i);
		put_(r, &e, 10 + 2 * i);
		remove_(r, e.id, 11 + 2 * i, 6);
		bh__registry_process_tick(r, 6);
	}
	assert_false(bh__registry_list_changes(r, at_(1), 6, facts, gone));
	g_array_unref(facts);
	g_array_unref(gone);
	bh__registry_delete(r);
}

/* A node looks less often at a store that does not answer, and at its usual pace again at once where the
 * store is known to be back, by an answer to itself or to others. (It waited out what the outage had left,
 * and missed a change by it.) */
static void looks_are_rarer_only_while_the_store_is_away_(void **state)
{
	const uint64_t period_us = 700 * BH__MS_US;
	uint64_t now_us = BH__SECOND_US;
	BH__ReadSchedule l = {0};
	unsigned made = 0;

	(void)state;
	for (unsigned i = 0; i < 100; i++) /* ten seconds without an answer */
		made += bh__read_schedule_process(&l, period_us, 0, false, now_us + i * 100 * BH__MS_US);
	assert_in_range(made, 4, 6);
	now_us += 10 * BH__SECOND_US;
	assert_true(l.backoff_us == BH__READ_SCHEDULE_BACKOFF_MAX_US);
	assert_true(bh__read_schedule_process(&l, period_us, 0, true,
										  MAX(now_us, l.sent_us + period_us))); /* others were answered */
	now_us = l.sent_us;
	assert_false(bh__read_schedule_process(&l, period_us, now_us, false, now_us + 600 * BH__MS_US));
	assert_true(
		bh__read_schedule_process(&l, period_us, now_us, false, now_us + period_us)); /* it was itself */
}

/* A change is made just after the last look that a node knows of; 24 of 79 nodes are cut off, and the node
 * finds no peer that knows more. It still has the change in time, whether it reads the endpoints itself or is
 * told of them. (It looked when what it knew was as old as a change may be.) */
static void a_node_left_alone_has_a_change_in_time_(void **state)
{
	const uint64_t bound_us = 3 * BH__SECOND_US;
	const uint64_t period_us = 1050 * BH__MS_US;
	const uint64_t look_us = 300 * BH__MS_US; /* with a large configuration on a small VM */

	(void)state;
	assert_true(bh__read_schedule_get_max_age_us(bound_us, period_us, true) + look_us <= bound_us / 2);
	assert_true(bh__read_schedule_get_max_age_us(bound_us, period_us, false) + look_us < bound_us);
	assert_true(bh__read_schedule_get_max_age_us(bound_us, period_us, false) >
				2 * period_us); /* others tell it sooner */
}

/* Where there is no place left, a begun answer is cut and nothing else is written into it. */
static void no_place_ends_a_request_(void **state)
{
	BH__RouteRule rule = {.retry_mode = BH__RETRY_MODE_RESUME, .max_attempts = 2};
	BH__RetryState x;

	(void)state;
	bh__retry_state_init(&x, &rule, BH__SECOND_US);
	assert_int_equal(bh__retry_state_process_no_endpoint(&x), BH__NEXT_ACTION_REFUSE);
	x.may_have_run = true;
	assert_int_equal(bh__retry_state_process_no_endpoint(&x), BH__NEXT_ACTION_FAIL);
	x.answer_begun = true;
	assert_int_equal(bh__retry_state_process_no_endpoint(&x), BH__NEXT_ACTION_BREAK_OFF);
}

/* Over all nodes no more is sent again than the service allows, also from nodes that have just started. */
static void the_repeat_budget_holds_(void **state)
{
	enum { NODES = 9, REQUESTS = 100 };
	BH__ServiceRetryBudget budget[NODES];
	unsigned spent = 0;

	(void)state;
	for (int n = 0; n < NODES; n++) {
		bh__service_retry_budget_init(&budget[n], 0.2, 100);
		bh__service_retry_budget_set_nodes(&budget[n], 100, NODES);
		for (int i = 0; i < REQUESTS; i++) {
			bh__service_retry_budget_note_request(&budget[n]);
			spent += bh__service_retry_budget_take(&budget[n]);
		}
	}
	assert_true(spent > 0);
	assert_true(spent <= 0.2 * NODES * REQUESTS + 100);
}

static void only_whole_events_are_taken_(void **state)
{
	static const char Text[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
	BH__EventStream s = {0};
	size_t len;
	size_t at = 0;

	(void)state;
	assert_int_equal(bh__event_stream_parse(&s, Text, sizeof Text - 1, &len), BH__EVENT_RELAY);
	assert_string_equal(s.last_id, "1");
	at += len;
	assert_int_equal(bh__event_stream_parse(&s, Text + at, sizeof Text - 1 - at, &len), BH__EVENT_RELAY);
	assert_string_equal(s.last_id, "2");
	at += len;
	assert_int_equal(bh__event_stream_parse(&s, Text + at, sizeof Text - 1 - at, &len), BH__EVENT_INCOMPLETE);
	assert_int_equal(s.events, 2);
	for (size_t cut = 0; cut < strlen("id: 1\ndata: a\n\n"); cut++) {
		BH__EventStream t = {0};
		assert_int_equal(bh__event_stream_parse(&t, Text, cut, &len), BH__EVENT_INCOMPLETE);
	}
}

/* A stream that goes on elsewhere may begin with events that the caller has. */
static void events_that_were_seen_are_dropped_(void **state)
{
	static const char *const Texts[] = {"id: 9\ndata: x\n\n", "id: 10\ndata: x\n\n"};
	BH__EventStream s = {.last_id = "10"};
	size_t len;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Texts); i++)
		assert_int_equal(bh__event_stream_parse(&s, Texts[i], strlen(Texts[i]), &len), BH__EVENT_DUPLICATE);
	assert_int_equal(bh__event_stream_parse(&s, "id: 11\n\n", 8, &len), BH__EVENT_RELAY);
	assert_string_equal(s.last_id, "11");
}

/* Asks that go out in one millisecond, while connections are made, are no silence; asks over 200 ms are
 * (incidents inc-181a and inc-f200 of the users). */
static void silence_takes_asks_and_time_(void **state)
{
	BH__ResponseMonitor s = {0};

	(void)state;
	for (unsigned i = 0; i < 10; i++)
		assert_false(bh__response_monitor_record_timeout(&s, 1000 * BH__MS_US));
	assert_true(bh__response_monitor_record_timeout(&s, 1200 * BH__MS_US));
	assert_false(bh__response_monitor_record_timeout(&s, 1201 * BH__MS_US)); /* the count begins again */

	bh__response_monitor_reset(&s);
	assert_false(bh__response_monitor_record_timeout(&s, 2000 * BH__MS_US));
	assert_false(bh__response_monitor_record_timeout(&s, 3000 * BH__MS_US)); /* two are too few */
	bh__response_monitor_reset(&s);
	assert_false(bh__response_monitor_record_timeout(&s, 3001 * BH__MS_US));
}

/* All nodes start at once: endpoints and duties are there after 200 ms, the configuration after 500. What
 * came meanwhile is kept until then. (It was refused at 300 ms.) */
static void a_start_waits_for_what_is_on_its_way_(void **state)
{
	const uint64_t start_us = 1000 * BH__SECOND_US;
	BH__StartupState k;

	(void)state;
	bh__startup_state_init(&k, start_us);
	bh__startup_state_note_asked(&k, 1500 * BH__MS_US, start_us);
	bh__startup_state_note_duties(&k, start_us + 180 * BH__MS_US);
	bh__startup_state_note_endpoints(&k, start_us + 200 * BH__MS_US);
	assert_int_equal(bh__startup_state_get_progress(&k, start_us + 499 * BH__MS_US),
					 BH__STARTUP_STATE_PENDING);
	bh__startup_state_note_configuration(&k, start_us + 500 * BH__MS_US);
	assert_int_equal(bh__startup_state_get_progress(&k, start_us + 500 * BH__MS_US),
					 BH__STARTUP_STATE_COMPLETE);
}

/* Nothing is kept for what nobody has promised: a platform that says nothing, or has refused. */
static void a_start_waits_for_nothing_else_(void **state)
{
	const uint64_t start_us = 1000 * BH__SECOND_US;
	const uint64_t later_us = start_us + BH__STARTUP_STATE_WAIT_US;
	BH__StartupState k;

	(void)state;
	bh__startup_state_init(&k, start_us);
	bh__startup_state_note_asked(&k, 1500 * BH__MS_US, start_us);
	assert_int_equal(bh__startup_state_get_progress(&k, later_us - 1), BH__STARTUP_STATE_PENDING);
	assert_int_equal(bh__startup_state_get_progress(&k, later_us),
					 BH__STARTUP_STATE_MISSING); /* it is silent */
	bh__startup_state_note_endpoints(&k, later_us);
	assert_int_equal(bh__startup_state_get_progress(&k, later_us), BH__STARTUP_STATE_PENDING);
	bh__startup_state_note_failed(&k);
	assert_int_equal(bh__startup_state_get_progress(&k, later_us),
					 BH__STARTUP_STATE_MISSING); /* it has refused */
	bh__startup_state_note_asked(&k, 1500 * BH__MS_US, later_us);
	assert_int_equal(bh__startup_state_get_progress(&k, later_us + 1499 * BH__MS_US),
					 BH__STARTUP_STATE_PENDING);
	assert_int_equal(bh__startup_state_get_progress(&k, later_us + 1500 * BH__MS_US),
					 BH__STARTUP_STATE_MISSING);
}

/* All nodes start while the platform is away, and it comes back 450 ms later: nobody knows more than another
 * until then, and who is kept is served sooner than who is sent away for a second. */
static void a_start_outlasts_a_short_outage_(void **state)
{
	const uint64_t start_us = 1000 * BH__SECOND_US;
	BH__StartupState k;

	(void)state;
	bh__startup_state_init(&k, start_us);
	for (unsigned ms = 0; ms < 450; ms += 150) { /* each look is refused at once */
		bh__startup_state_note_asked(&k, 1500 * BH__MS_US, start_us + ms * BH__MS_US);
		bh__startup_state_note_failed(&k);
	}
	assert_int_equal(bh__startup_state_get_progress(&k, start_us + 450 * BH__MS_US),
					 BH__STARTUP_STATE_PENDING);
	assert_int_equal(bh__startup_state_get_progress(&k, start_us + 1001 * BH__MS_US),
					 BH__STARTUP_STATE_MISSING);
}

/* One endpoint of a service is left, and fails some requests: a request that it failed goes there once more.
 * One that it refused does not, and with another endpoint left that one is taken. */
static void the_last_endpoint_is_tried_again_(void **state)
{
	BH__Registry *r = bh__registry_new(1);
	BH__EndpointEntry a = {.id = "a", .service = "s", .address = "1.1.1.1:1", .hall = "h1", .slots = 6};
	BH__EndpointEntry b = {.id = "b", .service = "s", .address = "1.1.1.1:2", .hall = "h2", .slots = 6};
	uint64_t first = bh__hash_name("a");
	uint64_t second = bh__hash_name("b");

	(void)state;
	put_(r, &a, 1);
	assert_true(bh__registry_pick(r, "s", "h1", &first, 1, true, 1)->endpoint_id == first);
	assert_null(bh__registry_pick(r, "s", "h1", &first, 1, false, 1));
	put_(r, &b, 2);
	for (int i = 0; i < 3; i++)
		bh__registry_note_end(r, second, bh__registry_find(r, second)->incarnation,
							  BH__ENDPOINT_OUTCOME_FAILED, 1);
	assert_true(bh__registry_pick(r, "s", "h1", &first, 1, true, 2)->endpoint_id == second);
	bh__registry_delete(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(longest_prefix_wins_),
		cmocka_unit_test(a_split_keeps_its_weights_),
		cmocka_unit_test(a_rule_without_its_service_is_refused_),
		cmocka_unit_test(long_names_differ_as_the_names_do_),
		cmocka_unit_test(keys_lead_to_their_owner_),
		cmocka_unit_test(draining_is_not_taken_back_),
		cmocka_unit_test(gone_endpoints_have_their_grace_),
		cmocka_unit_test(an_endpoint_that_is_back_starts_anew_),
		cmocka_unit_test(picks_the_least_loaded_and_not_tried_),
		cmocka_unit_test(sends_again_only_what_may_),
		cmocka_unit_test(may_have_run_is_not_forgotten_),
		cmocka_unit_test(a_long_pass_is_no_silence_),
		cmocka_unit_test(a_second_without_packets_is_no_silence_),
		cmocka_unit_test(changes_are_told_since_a_place_),
		cmocka_unit_test(looks_are_rarer_only_while_the_store_is_away_),
		cmocka_unit_test(a_node_left_alone_has_a_change_in_time_),
		cmocka_unit_test(no_place_ends_a_request_),
		cmocka_unit_test(the_repeat_budget_holds_),
		cmocka_unit_test(only_whole_events_are_taken_),
		cmocka_unit_test(events_that_were_seen_are_dropped_),
		cmocka_unit_test(silence_takes_asks_and_time_),
		cmocka_unit_test(a_start_waits_for_what_is_on_its_way_),
		cmocka_unit_test(a_start_waits_for_nothing_else_),
		cmocka_unit_test(a_start_outlasts_a_short_outage_),
		cmocka_unit_test(the_last_endpoint_is_tried_again_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
