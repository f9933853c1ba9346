/* SPDX-License-Identifier: BSD-3-Clause */
/* What may go on an answer that has begun: every head and beginning that a dispatch can give, by the number
 * of the dispatch. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>
#include "bayhoist/answer_assembly.h"

#define ATTEMPTS_MAX 3
#define DEADLINE_US (10 * BH__SECOND_US)

/* The path of one resumable request: its answer, its retries, and what its caller got. */
typedef struct {
	BH__AnswerAssembly answer;
	BH__RetryState retry;
	BH__ServiceRetryBudget budget;
	char got[512]; /* bytes that went to the caller */
} Play;

static const BH__AnswerHead Stream_ = {
	.status = 200, .is_own = true, .is_proven = true, .is_event_stream = true};

static Play play_new_(uint32_t max_attempts)
{
	BH__RouteRule rule = {.retry_mode = BH__RETRY_MODE_RESUME, .max_attempts = max_attempts, .streams = true};
	Play p = {0};

	bh__answer_assembly_init(&p.answer, true);
	bh__retry_state_init(&p.retry, &rule, DEADLINE_US);
	bh__service_retry_budget_init(&p.budget, 0.2, 100);
	return p;
}

/* Plays one dispatch as the gateway does: its head, its bytes, and how its transfer ended. Returns the next
 * action. */
static BH__NextAction dispatch_(Play *p, const BH__AnswerHead *head, const char *bytes,
								BH__TransferEnd transfer)
{
	BH__HeadVerdict verdict;
	size_t len = strlen(bytes);
	size_t at = 0;
	size_t event_len;
	BH__EventState state;
	BH__DispatchEnd end;

	bh__answer_assembly_process_dispatch(&p->answer);
	verdict = bh__answer_assembly_process_head(&p->answer, head);
	end = verdict.end;
	if (verdict.body == BH__ANSWER_BODY_EVENTS) {
		while ((state = bh__answer_assembly_process_event(&p->answer, bytes + at, len - at, &event_len)) !=
			   BH__EVENT_INCOMPLETE) {
			if (state == BH__EVENT_FOREIGN)
				return bh__retry_state_process_end(&p->retry, BH__DISPATCH_FAILED, &p->budget, 0);
			if (state == BH__EVENT_RELAY) {
				strncat(p->got, bytes + at, event_len);
				bh__answer_assembly_note_forwarded(&p->answer, event_len);
				p->retry.answer_begun = true;
				p->retry.not_resumable = !bh__answer_assembly_can_resume(&p->answer);
			}
			at += event_len;
		}
	}
	if (verdict.body != BH__ANSWER_BODY_UNUSED)
		end = bh__answer_assembly_get_end(&p->answer, transfer, head->status, len - at);
	return bh__retry_state_process_end(&p->retry, end, &p->budget, 0);
}

/* A dispatch that gives the next event and breaks off. */
static BH__NextAction break_off_(Play *p, unsigned id)
{
	char event[32];

	g_snprintf(event, sizeof event, "id: %u\ndata: x\n\n", id);
	return dispatch_(p, &Stream_, event, BH__TRANSFER_BROKEN);
}

/* Every head that is no continuation of a stream. */
static const struct {
	const char *what;
	BH__AnswerHead head;
} Heads_[] = {
	{"200 of another media type", {.status = 200, .is_own = true, .is_proven = true}},
	{"200 with a content coding",
	 {.status = 200, .is_own = true, .is_proven = true, .is_event_stream = true, .is_encoded = true}},
	{"200 without a proof", {.status = 200, .is_own = true, .is_event_stream = true}},
	{"200 to another request", {.status = 200, .is_proven = true, .is_event_stream = true}},
	{"204", {.status = 204, .is_own = true, .is_proven = true}},
	{"206", {.status = 206, .is_own = true, .is_proven = true, .is_event_stream = true}},
	{"302", {.status = 302, .is_own = true, .is_proven = true}},
	{"400", {.status = 400, .is_own = true, .is_proven = true}},
	{"401", {.status = 401, .is_own = true, .is_proven = true}},
	{"401 without a proof", {.status = 401, .is_own = true}},
	{"404", {.status = 404, .is_own = true, .is_proven = true}},
	{"404 without a proof", {.status = 404, .is_own = true}},
	{"404 that names no request", {.status = 404, .is_nameless = true}},
	{"500 that names no request", {.status = 500, .is_nameless = true}},
	{"408", {.status = 408, .is_own = true, .is_proven = true}},
	{"421", {.status = 421, .is_own = true, .is_proven = true}},
	{"429", {.status = 429, .is_own = true, .is_proven = true}},
	{"500", {.status = 500, .is_own = true, .is_proven = true}},
	{"500 as a stream", {.status = 500, .is_own = true, .is_proven = true, .is_event_stream = true}},
	{"500 without a proof", {.status = 500, .is_own = true}},
	{"500 to another request", {.status = 500, .is_proven = true}},
	{"503 to another request", {.status = 503, .is_proven = true}},
	{"503", {.status = 503, .is_own = true, .is_proven = true}},
	{"504", {.status = 504, .is_own = true, .is_proven = true}},
};

/* Guards against the body of a failure, or of any other answer, between the events of a resumed stream. */
static void only_a_stream_continues_a_stream_(void **state)
{
	static const BH__TransferEnd Transfers[] = {BH__TRANSFER_COMPLETE, BH__TRANSFER_CLOSED,
												BH__TRANSFER_BROKEN};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Heads_) * 2 * G_N_ELEMENTS(Transfers); i++) {
		BH__AnswerHead head = Heads_[i / 2 / G_N_ELEMENTS(Transfers)].head;
		BH__TransferEnd transfer = Transfers[i % G_N_ELEMENTS(Transfers)];

		head.not_run = i / G_N_ELEMENTS(Transfers) % 2;
		for (unsigned attempt = 2; attempt <= ATTEMPTS_MAX; attempt++) {
			Play p = play_new_(ATTEMPTS_MAX);
			char before[sizeof p.got];

			for (unsigned n = 1; n < attempt; n++)
				assert_int_equal(break_off_(&p, n), BH__NEXT_ACTION_RESUME);
			strcpy(before, p.got);
			assert_int_equal(dispatch_(&p, &head, "id: 9\ndata: foreign\n\nforeign", transfer),
							 attempt < ATTEMPTS_MAX ? BH__NEXT_ACTION_RESUME : BH__NEXT_ACTION_BREAK_OFF);
			assert_string_equal(p.got, before);
			assert_true(p.retry.may_have_run);
		}
	}
}

/* The first dispatch's answer is the caller's, whatever it is, unless it is no answer to the request. */
static void the_first_answer_is_handed_on_(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Heads_); i++) {
		const BH__AnswerHead *head = &Heads_[i].head;
		BH__AnswerAssembly a;
		BH__HeadVerdict verdict;
		bool is_success = head->status / 100 == 2;
		bool is_none = !head->is_own || (!head->is_proven && (is_success || head->status == 401));
		bool is_failure = head->status >= 500 || (!head->is_proven && !is_success);

		bh__answer_assembly_init(&a, true);
		bh__answer_assembly_process_dispatch(&a);
		verdict = bh__answer_assembly_process_head(&a, head);
		assert_int_equal(verdict.body, is_none      ? BH__ANSWER_BODY_UNUSED
									   : is_failure ? BH__ANSWER_BODY_FAILURE
													: BH__ANSWER_BODY_PLAIN);
		assert_true(!is_none || verdict.end == BH__DISPATCH_BROKEN);
	}
}

/* Which request an answer names. */
typedef enum { NAMES_OWN, NAMES_OTHER, NAMES_NONE, NAMES_COUNT } Named;

static const char *const Ids_[NAMES_COUNT] = {"attempt-7", "attempt-6", ""};

/* What becomes of a request by the head of its first answer: how the body is used, how the dispatch ends if
 * the body is not used, and what follows. */
typedef struct {
	BH__AnswerBody body;
	BH__DispatchEnd end;
	BH__NextAction once;       /* next action, of a request that may run only once and has a dispatch left */
	BH__NextAction repeatable; /* of one that may be repeated, with a dispatch left */
	BH__NextAction without_more; /* of either, with none left */
} Becomes;

static const Becomes Broken_ = {BH__ANSWER_BODY_UNUSED, BH__DISPATCH_BROKEN, BH__NEXT_ACTION_FAIL,
								BH__NEXT_ACTION_SEND, BH__NEXT_ACTION_FAIL};
static const Becomes Refusal_ = {BH__ANSWER_BODY_UNUSED, BH__DISPATCH_REFUSED, BH__NEXT_ACTION_SEND,
								 BH__NEXT_ACTION_SEND, BH__NEXT_ACTION_REFUSE};
static const Becomes Plain_ = {BH__ANSWER_BODY_PLAIN, BH__DISPATCH_ANSWERED, BH__NEXT_ACTION_DONE,
							   BH__NEXT_ACTION_DONE, BH__NEXT_ACTION_DONE};
static const Becomes Failure_ = {BH__ANSWER_BODY_FAILURE, BH__DISPATCH_FAILED, BH__NEXT_ACTION_PASS_THROUGH,
								 BH__NEXT_ACTION_SEND, BH__NEXT_ACTION_PASS_THROUGH};

/* Returns what is wanted of an answer: whose it is comes first, then what it says of the request, and its
 * status last. Without a request's id only a refusal is an endpoint's, and without a proof no success and no
 * demand for a key; any other failure without one goes to another endpoint, or else to the caller. */
static const Becomes *wanted_(Named named, int status, bool not_run, bool has_proof)
{
	if (named == NAMES_OTHER)
		return &Broken_;
	if (not_run)
		return &Refusal_;
	if (named == NAMES_NONE)
		return &Broken_;
	if (has_proof)
		return status >= 500 ? &Failure_ : &Plain_;
	return status / 100 == 2 || status == 401 ? &Broken_ : &Failure_;
}

/* Returns the next action after a request's only dispatch so far was answered by `head`. */
static BH__NextAction follow_(const BH__AnswerHead *head, BH__RetryMode mode, uint32_t max_attempts)
{
	BH__RouteRule rule = {.retry_mode = mode, .max_attempts = max_attempts};
	Play p = {0};

	bh__answer_assembly_init(&p.answer, false);
	bh__retry_state_init(&p.retry, &rule, DEADLINE_US);
	bh__service_retry_budget_init(&p.budget, 0.2, 100);
	return dispatch_(&p, head, "", BH__TRANSFER_COMPLETE);
}

/* Guards against an answer to another request that is believed in what it says of this one: that it did not
 * run, above all, after which it would run twice, or its caller be told that it never will. */
static void whose_an_answer_is_comes_first_(void **state)
{
	static const int Statuses[] = {200, 204, 302, 400, 401, 404, 408, 410, 421, 429, 500, 502, 503, 504};

	(void)state;
	for (size_t i = 0; i < NAMES_COUNT * G_N_ELEMENTS(Statuses) * 4; i++) {
		Named named = (Named)(i % NAMES_COUNT);
		bool not_run = i / NAMES_COUNT % 2;
		bool has_proof = i / NAMES_COUNT / 2 % 2;
		int status = Statuses[i / NAMES_COUNT / 4];
		const Becomes *wanted = wanted_(named, status, not_run, has_proof);
		BH__AnswerHead head = {.status = status, .not_run = not_run};
		BH__AnswerAssembly a;
		BH__HeadVerdict verdict;

		bh__answer_head_set_origin(&head, Ids_[NAMES_OWN], Ids_[named], has_proof);
		bh__answer_assembly_init(&a, false);
		bh__answer_assembly_process_dispatch(&a);
		verdict = bh__answer_assembly_process_head(&a, &head);
		assert_int_equal(verdict.body, wanted->body);
		if (verdict.body == BH__ANSWER_BODY_UNUSED)
			assert_int_equal(verdict.end, wanted->end);
		assert_int_equal(follow_(&head, BH__RETRY_MODE_NEVER, 2), wanted->once);
		assert_int_equal(follow_(&head, BH__RETRY_MODE_FREELY, 2), wanted->repeatable);
		assert_int_equal(follow_(&head, BH__RETRY_MODE_NEVER, 1), wanted->without_more);
		assert_int_equal(follow_(&head, BH__RETRY_MODE_FREELY, 1), wanted->without_more);
	}
}

/* Guards against the answer of another system, which has the address of an endpoint, as that of the endpoint.
 * A request without an id has no name that an answer could bring back. */
static void another_system_is_no_endpoint_(void **state)
{
	static const struct {
		const char *what;
		int status;
		const char *request_id;
		const char *named_id;
		bool is_foreign;
	} Table[] = {
		{"the store knows no such path", 404, "attempt-7", "", true},
		{"the store has dropped what was asked for", 410, "attempt-7", "", true},
		{"a web server greets", 200, "attempt-7", "", true},
		{"a web server leads elsewhere", 302, "attempt-7", "", true},
		{"a web server has failed", 500, "attempt-7", "", true},
		{"a proxy has no server", 503, "attempt-7", "", true},
		{"a gateway misses the key", 401, "attempt-7", "attempt-7", true},
		{"a system that brings back all headers greets", 200, "attempt-7", "attempt-7", true},
		{"an endpoint does not know the path", 404, "attempt-7", "attempt-7", false},
		{"an endpoint has failed", 500, "attempt-7", "attempt-7", false},
		{"an endpoint misses the id", 400, "", "", false},
		{"a success without an id", 200, "", "", true},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Table); i++) {
		BH__AnswerHead head = {.status = Table[i].status};

		bh__answer_head_set_origin(&head, Table[i].request_id, Table[i].named_id, false);
		if (bh__answer_head_is_foreign(&head) != Table[i].is_foreign)
			fail_msg("%s", Table[i].what);
	}
}

/* A dispatch that another request's answer ended may have run: a refusal by the next endpoint does not take
 * that back. */
static void a_refusal_after_anothers_answer_promises_nothing_(void **state)
{
	BH__AnswerHead foreign = {.status = 503, .not_run = true};
	BH__AnswerHead refusal = foreign;
	BH__RouteRule rule = {.retry_mode = BH__RETRY_MODE_FREELY, .max_attempts = 2};
	Play p = {0};

	(void)state;
	bh__answer_head_set_origin(&foreign, Ids_[NAMES_OWN], Ids_[NAMES_OTHER], true);
	bh__answer_head_set_origin(&refusal, Ids_[NAMES_OWN], Ids_[NAMES_OWN], true);
	bh__answer_assembly_init(&p.answer, false);
	bh__retry_state_init(&p.retry, &rule, DEADLINE_US);
	bh__service_retry_budget_init(&p.budget, 0.2, 100);
	assert_int_equal(dispatch_(&p, &foreign, "", BH__TRANSFER_COMPLETE), BH__NEXT_ACTION_SEND);
	assert_int_equal(dispatch_(&p, &refusal, "", BH__TRANSFER_COMPLETE), BH__NEXT_ACTION_FAIL);
}

/* Every beginning of a stream that does not go on after event 3, in a dispatch that was to. */
static const struct {
	const char *what;
	const char *bytes;
	BH__TransferEnd transfer;
	const char *got; /* what of it goes to the caller */
} Beginnings_[] = {
	{"begins anew", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n",
	 BH__TRANSFER_COMPLETE, ""},
	{"repeats the last event", "id: 3\ndata: c\n\nid: 4\ndata: d\n\n", BH__TRANSFER_COMPLETE, ""},
	{"skips one", "id: 5\ndata: e\n\n", BH__TRANSFER_COMPLETE, ""},
	{"has no ids", "data: d\n\n", BH__TRANSFER_COMPLETE, ""},
	{"has an id that is no number", "id: d\ndata: d\n\n", BH__TRANSFER_COMPLETE, ""},
	{"ends within the event", "id: 4\nda", BH__TRANSFER_CLOSED, ""},
	{"ends before the blank line", "id: 4\ndata: d\n", BH__TRANSFER_COMPLETE, ""},
	{"has a text first", "failed\nid: 4\ndata: d\n\n", BH__TRANSFER_COMPLETE, ""},
	{"has an object first", "{\"error\":1}\nid: 4\ndata: d\n\n", BH__TRANSFER_COMPLETE, ""},
	{"closes without an event", "", BH__TRANSFER_CLOSED, ""},
	{"closes after a comment", ": c\n\n", BH__TRANSFER_CLOSED, ""},
	{"breaks off at once", "", BH__TRANSFER_BROKEN, ""},
	{"goes on and ends within the next event", "id: 4\ndata: d\n\nid: 5\nda", BH__TRANSFER_CLOSED,
	 "id: 4\ndata: d\n\n"},
};

/* Guards against events of another run, a gap, or half an event at the seam of a resumed stream. */
static void only_what_goes_on_continues_a_stream_(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Beginnings_); i++) {
		for (uint32_t max_attempts = 2; max_attempts <= ATTEMPTS_MAX; max_attempts++) {
			Play p = play_new_(max_attempts);
			char wanted[sizeof p.got];

			assert_int_equal(dispatch_(&p, &Stream_,
									   "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\nha",
									   BH__TRANSFER_BROKEN),
							 BH__NEXT_ACTION_RESUME);
			g_snprintf(wanted, sizeof wanted, "%s%s", p.got, Beginnings_[i].got);
			assert_int_equal(dispatch_(&p, &Stream_, Beginnings_[i].bytes, Beginnings_[i].transfer),
							 max_attempts > 2 ? BH__NEXT_ACTION_RESUME : BH__NEXT_ACTION_BREAK_OFF);
			assert_string_equal(p.got, wanted);
		}
	}
}

/* What goes on is taken, also after a comment, with fields that this library does not know, with gaps where
 * ids have had gaps before, and where nothing was left to send. */
static void what_goes_on_is_taken_(void **state)
{
	static const struct {
		const char *before;
		const char *bytes;
	} Table[] = {
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "versions: 7\r\nid: 3\r\ndata: c\r\n\r\n"},
		{"id: 46\ndata: a\n\nid: 92\ndata: b\n\n", "id: 95\ndata: c\n\n"},
		{"id: a\ndata: a\n\nid: b\ndata: b\n\n", "id: c\ndata: c\n\n"},
		{"id: 7\ndata: a\n\n", "id: 9\ndata: c\n\n"},
		{"id: 1\ndata: a\n\n", ""},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Table); i++) {
		Play p = play_new_(2);
		char wanted[sizeof p.got];

		g_snprintf(wanted, sizeof wanted, "%s%s", Table[i].before, Table[i].bytes);
		assert_int_equal(dispatch_(&p, &Stream_, Table[i].before, BH__TRANSFER_BROKEN),
						 BH__NEXT_ACTION_RESUME);
		assert_int_equal(dispatch_(&p, &Stream_, Table[i].bytes, BH__TRANSFER_COMPLETE),
						 BH__NEXT_ACTION_DONE);
		assert_string_equal(p.got, wanted);
	}
}

/* Where no event tells after which to go on, an answer that breaks off is not continued. */
static void what_has_no_ids_is_not_continued_(void **state)
{
	static const char *const Texts[] = {"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n",
										"id: 1\x01x\ndata: a\n\n"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Texts); i++) {
		Play p = play_new_(ATTEMPTS_MAX);
		assert_int_equal(dispatch_(&p, &Stream_, Texts[i], BH__TRANSFER_BROKEN), BH__NEXT_ACTION_BREAK_OFF);
	}
}

/* Nothing is put behind a plain answer of which the caller has a part. */
static void a_plain_answer_is_not_continued_(void **state)
{
	BH__AnswerHead plain = {.status = 200, .is_own = true, .is_proven = true};
	Play p = play_new_(ATTEMPTS_MAX);

	(void)state;
	bh__answer_assembly_process_dispatch(&p.answer);
	assert_int_equal(bh__answer_assembly_process_head(&p.answer, &plain).body, BH__ANSWER_BODY_PLAIN);
	bh__answer_assembly_note_forwarded(&p.answer, 300000);
	p.retry.answer_begun = true;
	p.retry.not_resumable = !bh__answer_assembly_can_resume(&p.answer);
	assert_int_equal(bh__retry_state_process_end(&p.retry, BH__DISPATCH_BROKEN, &p.budget, 0),
					 BH__NEXT_ACTION_BREAK_OFF);
}

/* Comments are no events: they do not begin an answer, and have a bound. */
static void comments_are_no_answer_(void **state)
{
	static const char Comment[] = ": still at work\n\n";
	BH__AnswerAssembly a;
	size_t len;
	unsigned taken = 0;

	(void)state;
	bh__answer_assembly_init(&a, true);
	bh__answer_assembly_process_dispatch(&a);
	bh__answer_assembly_process_head(&a, &Stream_);
	assert_int_equal(bh__answer_assembly_process_event(&a, Comment, strlen(Comment), &len),
					 BH__EVENT_INCOMPLETE);
	assert_int_equal(bh__answer_assembly_process_event(&a, ": x\n\nid: 1\n\n", 12, &len), BH__EVENT_RELAY);
	assert_int_equal(len, 12);
	assert_int_equal(a.events.events, 1);
	while (bh__answer_assembly_process_event(&a, Comment, strlen(Comment), &len) == BH__EVENT_COMMENT)
		assert_in_range(++taken, 1, 10000);
	assert_int_equal(a.events.events, 1);
	assert_true(taken > 1000);
}

/* A stream that is resumed twice, with a refusal between, is whole. */
static void a_resumed_stream_is_whole_(void **state)
{
	BH__AnswerHead refusal = {.status = 503, .is_own = true, .not_run = true};
	Play p = play_new_(ATTEMPTS_MAX);

	(void)state;
	assert_int_equal(break_off_(&p, 1), BH__NEXT_ACTION_RESUME);
	assert_int_equal(dispatch_(&p, &refusal, "full", BH__TRANSFER_COMPLETE), BH__NEXT_ACTION_RESUME);
	assert_int_equal(dispatch_(&p, &Stream_, "id: 2\ndata: x\n\n", BH__TRANSFER_COMPLETE),
					 BH__NEXT_ACTION_DONE);
	assert_string_equal(p.got, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_a_stream_continues_a_stream_),
		cmocka_unit_test(the_first_answer_is_handed_on_),
		cmocka_unit_test(whose_an_answer_is_comes_first_),
		cmocka_unit_test(another_system_is_no_endpoint_),
		cmocka_unit_test(a_refusal_after_anothers_answer_promises_nothing_),
		cmocka_unit_test(a_resumed_stream_is_whole_),
		cmocka_unit_test(only_what_goes_on_continues_a_stream_),
		cmocka_unit_test(what_goes_on_is_taken_),
		cmocka_unit_test(what_has_no_ids_is_not_continued_),
		cmocka_unit_test(a_plain_answer_is_not_continued_),
		cmocka_unit_test(comments_are_no_answer_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
