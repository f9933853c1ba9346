/* SPDX-License-Identifier: BSD-3-Clause */
/* Changes of the configuration: malformed ones are refused with field and cause, and what is told of a change
 * whose compare-and-swap is under way is true. The store is a stub that keeps the calls for the test to
 * answer. */
#include <glib.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <cmocka.h>
#include <string.h>
#include "bayhoist/config.h"

#define DEADLINE_US BH__SECOND_US
#define GOOD_CHANGE "{\"resources\":[{\"kind\":\"model\",\"name\":\"m\",\"spec\":{}}]}"

/* A store that answers nothing by itself. */
typedef struct {
	BH__StorePort port; /* first member: the callback casts it to the enclosing structure */
	uint64_t call_id;   /* of the last call */
	BH__StoreOp op;
	unsigned calls;
} StubStore;

/* What was told of a change. */
typedef struct {
	unsigned count;
	BH__ApplyStatus status;
	char message[200];
} Told;

static void call_(BH__StorePort *port, const BH__StoreCall *call)
{
	StubStore *s = (StubStore *)port;

	s->call_id = call->call_id;
	s->op = call->op;
	s->calls++;
}

static void installed_(void *ctx, uint64_t revision)
{
	(void)ctx;
	(void)revision;
}

static void told_(void *ctx, const BH__ApplyResult *result)
{
	Told *t = ctx;

	t->count++;
	t->status = result->status;
	g_strlcpy(t->message, result->message, sizeof t->message);
}

static void apply_(BH__Config *c, const char *change, Told *t)
{
	memset(t, 0, sizeof *t);
	bh__config_apply(c, change, strlen(change), "change-1", "operator", DEADLINE_US, told_, t, 0);
}

/* Answers the call that the store got last. */
static void answer_(BH__Store *store, const StubStore *s, BH__StoreStatus status)
{
	BH__StoreReply reply = {.call_id = s->call_id, .status = status, .mod_revision = 1};

	bh__store_process_reply(store, &reply, 0);
}

/* Applies a good change and answers the calls before its compare-and-swap, which stays unanswered. */
static void begin_swap_(BH__Config *c, BH__Store *store, const StubStore *s, Told *t)
{
	apply_(c, GOOD_CHANGE, t);
	assert_int_equal(s->op, BH__STORE_GET);
	answer_(store, s, BH__STORE_NOT_FOUND);
	while (s->op == BH__STORE_PUT)
		answer_(store, s, BH__STORE_OK);
	assert_int_equal(s->op, BH__STORE_CAS);
}

static void malformed_changes_are_refused_before_the_store_is_asked_(void **state)
{
	static const char *const Changes[] = {"{}",
										  "[]",
										  "{\"resources\":{}}",
										  "{\"resources\":[1]}",
										  "{\"resources\":[null]}",
										  "{\"resources\":[[]]}",
										  "{\"resources\":[{\"kind\":1,\"name\":\"m\",\"spec\":{}}]}",
										  "{\"resources\":[{\"kind\":\"model\",\"spec\":{}}]}"};
	StubStore stub = {.port = {.call = call_}};
	BH__Store *store = bh__store_new(&stub.port, 100, 100);
	BH__Config *c = bh__config_new(store, installed_, NULL);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Changes); i++) {
		Told t;
		apply_(c, Changes[i], &t);
		assert_int_equal(t.count, 1);
		assert_int_equal(t.status, BH__APPLY_INVALID);
		assert_non_null(strstr(t.message, "field \""));
	}
	assert_int_equal(stub.calls, 0);
	bh__config_delete(c);
	bh__store_delete(store);
}

/* The deadline passes while the compare-and-swap is unanswered: the change may still take effect. */
static void a_change_under_way_is_not_called_undone_(void **state)
{
	StubStore stub = {.port = {.call = call_}};
	BH__Store *store = bh__store_new(&stub.port, 100, 100);
	BH__Config *c = bh__config_new(store, installed_, NULL);
	Told t;

	(void)state;
	begin_swap_(c, store, &stub, &t);
	bh__config_process_tick(c, DEADLINE_US);
	assert_int_equal(t.count, 1);
	assert_int_equal(t.status, BH__APPLY_UNKNOWN);
	bh__config_delete(c);
	bh__store_delete(store);
}

/* The node stops while the compare-and-swap is unanswered. */
static void a_stop_calls_a_change_under_way_unknown_(void **state)
{
	StubStore stub = {.port = {.call = call_}};
	BH__Store *store = bh__store_new(&stub.port, 100, 100);
	BH__Config *c = bh__config_new(store, installed_, NULL);
	Told t;

	(void)state;
	begin_swap_(c, store, &stub, &t);
	bh__config_delete(c);
	assert_int_equal(t.count, 1);
	assert_int_equal(t.status, BH__APPLY_UNKNOWN);
	bh__store_delete(store);
}

/* A change that has sent nothing but reads and chunks changes nothing, and that is told. */
static void a_change_without_a_swap_is_called_undone_(void **state)
{
	StubStore stub = {.port = {.call = call_}};
	BH__Store *store = bh__store_new(&stub.port, 100, 100);
	BH__Config *c = bh__config_new(store, installed_, NULL);
	Told t;

	(void)state;
	apply_(c, GOOD_CHANGE, &t);
	bh__config_process_tick(c, DEADLINE_US);
	assert_int_equal(t.count, 1);
	assert_int_equal(t.status, BH__APPLY_STORE_DOWN);
	bh__config_delete(c);
	bh__store_delete(store);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(malformed_changes_are_refused_before_the_store_is_asked_),
		cmocka_unit_test(a_change_under_way_is_not_called_undone_),
		cmocka_unit_test(a_stop_calls_a_change_under_way_unknown_),
		cmocka_unit_test(a_change_without_a_swap_is_called_undone_)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
