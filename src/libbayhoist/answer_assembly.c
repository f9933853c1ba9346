/* SPDX-License-Identifier: BSD-3-Clause */
/* The caller of a resumed stream sees one answer that several endpoints gave. Once it has the head of an
 * answer, only what continues that answer may follow: any other answer of a later dispatch, a failure above
 * all, ends its dispatch by its head, and nothing of it reaches the caller. */
#include "bayhoist/answer_assembly.h"

#include <string.h>

#define STATUS_OK_ 200
#define STATUS_UNAUTHORIZED_ 401
#define COMMENTS_MAX_ (64 * 1024) /* bytes of comments between two events */

static bool is_success_(const BH__AnswerHead *head);
static bool is_failure_(const BH__AnswerHead *head);
static bool is_stream_(const BH__AnswerAssembly *a, const BH__AnswerHead *head);
static BH__EventState process_first_(BH__AnswerAssembly *a, const char *data, size_t len, size_t *event_len);

/* Sets whose answer it is that names `named_id`, which is empty if it names none, for the request
 * `request_id`, which is empty if it has no id. `has_proof`: it proves that an endpoint gave it. */
void bh__answer_head_set_origin(BH__AnswerHead *head, const char *request_id, const char *named_id,
								bool has_proof)
{
	head->is_own = !strcmp(named_id, request_id);
	head->is_nameless = !named_id[0];
	head->is_proven = has_proof && named_id[0];
}

/* Returns true if no endpoint gave the answer to this request: nothing that it says is believed, and the
 * request may have run. Endpoints name the request in each answer; one that refuses it may leave that out,
 * since no other system says that a request has not run. Without a proof neither a success is an endpoint's,
 * nor the demand for a key: endpoints are given none. */
bool bh__answer_head_is_foreign(const BH__AnswerHead *head)
{
	if (head->not_run)
		return !head->is_own && !head->is_nameless;
	if (!head->is_own)
		return true;
	return !head->is_proven && (is_success_(head) || head->status == STATUS_UNAUTHORIZED_);
}

/* Returns true if the answer's status is one of success. */
static bool is_success_(const BH__AnswerHead *head)
{
	return head->status / 100 == 2;
}

/* Initializes the answer of a new request. `streams`: the request's route answers in event streams, and its
 * method allows a body. */
void bh__answer_assembly_init(BH__AnswerAssembly *a, bool streams)
{
	memset(a, 0, sizeof *a);
	a->streams = streams;
}

/* Prepares for the answer of the next dispatch. What the caller has been sent is kept. */
void bh__answer_assembly_process_dispatch(BH__AnswerAssembly *a)
{
	a->body = BH__ANSWER_BODY_UNUSED;
	a->dispatch_events = 0;
	a->first_id[0] = '\0';
	a->dispatch_bytes = 0;
	a->comment_bytes = 0;
}

/* Decides what becomes of the answer of the current dispatch. Whose answer it is comes first: what no
 * endpoint gave to this request says nothing of it. Then a refusal counts, whatever its status. */
BH__HeadVerdict bh__answer_assembly_process_head(BH__AnswerAssembly *a, const BH__AnswerHead *head)
{
	BH__HeadVerdict verdict = {.body = BH__ANSWER_BODY_UNUSED};

	if (bh__answer_head_is_foreign(head))
		verdict.end = BH__DISPATCH_BROKEN;
	else if (head->not_run)
		verdict.end = BH__DISPATCH_REFUSED;
	else if (is_stream_(a, head))
		verdict.body = BH__ANSWER_BODY_EVENTS;
	else if (a->begun != BH__ANSWER_BODY_UNUSED)
		verdict.end = BH__DISPATCH_FAILED;
	else
		verdict.body = is_failure_(head) ? BH__ANSWER_BODY_FAILURE : BH__ANSWER_BODY_PLAIN;
	a->body = verdict.body;
	return verdict;
}

/* Returns true if another endpoint may do better: one has failed, or, without a proof, it may be another
 * system that does not know the request's path. */
static bool is_failure_(const BH__AnswerHead *head)
{
	return head->status >= 500 || (!head->is_proven && !is_success_(head));
}

/* Returns true if the answer is a stream whose events can be told apart. */
static bool is_stream_(const BH__AnswerAssembly *a, const BH__AnswerHead *head)
{
	return a->streams && head->status == STATUS_OK_ && head->is_event_stream && !head->is_encoded;
}

/* Decides what becomes of the event at the start of `data`, see bh__event_stream_parse(). Comments
 * between two events have a bound, beyond which the dispatch is no stream; those ahead of the first event of
 * a dispatch that resumes are dropped. */
BH__EventState bh__answer_assembly_process_event(BH__AnswerAssembly *a, const char *data, size_t len,
												 size_t *event_len)
{
	BH__EventState state = a->dispatch_events > 0 ? bh__event_stream_parse(&a->events, data, len, event_len)
												  : process_first_(a, data, len, event_len);

	if (state == BH__EVENT_COMMENT) {
		a->comment_bytes += *event_len;
		if (a->comment_bytes > COMMENTS_MAX_)
			return BH__EVENT_FOREIGN;
		return a->dispatch_events > 0 ? BH__EVENT_COMMENT : BH__EVENT_DUPLICATE;
	}
	if (state == BH__EVENT_RELAY) {
		if (!a->first_id[0])
			memcpy(a->first_id, a->events.last_id, sizeof a->first_id);
		a->dispatch_events++;
		a->comment_bytes = 0;
	}
	return state;
}

/* The same for the first event of a dispatch. Where it resumes a stream, the event must go on after the last
 * one that the caller has. Otherwise comments ahead of it wait for it: an endpoint that sends nothing else
 * has not begun to answer. */
static BH__EventState process_first_(BH__AnswerAssembly *a, const char *data, size_t len, size_t *event_len)
{
	bool resumes = a->begun != BH__ANSWER_BODY_UNUSED;
	size_t comments = 0;
	BH__EventText e;

	bh__event_text_read(&e, data, len);
	while (!resumes && e.len && !e.has_fields) {
		comments += e.len;
		bh__event_text_read(&e, data + comments, len - comments);
	}
	*event_len = e.len ? comments + e.len : 0;
	if (resumes && e.len && e.has_fields && !bh__event_stream_is_continued_by(&a->events, &e))
		return BH__EVENT_FOREIGN;
	return bh__event_stream_process(&a->events, &e);
}

/* Returns true if another dispatch can continue the answer that the caller has: only a stream can be
 * continued, and only one whose last event has an id. */
bool bh__answer_assembly_can_resume(const BH__AnswerAssembly *a)
{
	return a->begun == BH__ANSWER_BODY_EVENTS && bh__event_stream_can_resume(&a->events);
}

/* Records that `len` bytes of the current dispatch's answer went to the caller. The first ones, which may be
 * none, begin the answer. */
void bh__answer_assembly_note_forwarded(BH__AnswerAssembly *a, size_t len)
{
	if (a->begun == BH__ANSWER_BODY_UNUSED)
		a->begun = a->body;
	a->dispatch_bytes += len;
}

/* Returns how a dispatch has ended whose head did not decide that. `status` is that of its answer, and
 * `buffered` the number of bytes of it that were not forwarded. A stream that ends within an event is broken,
 * and so is one without any event of this dispatch whose end only its connection tells. */
BH__DispatchEnd bh__answer_assembly_get_end(const BH__AnswerAssembly *a, BH__TransferEnd end, int status,
											size_t buffered)
{
	bool is_stream = a->body == BH__ANSWER_BODY_EVENTS;

	if (end == BH__TRANSFER_UNREACHABLE)
		return BH__DISPATCH_UNREACHABLE;
	if (end == BH__TRANSFER_BROKEN || (is_stream && buffered > 0))
		return BH__DISPATCH_BROKEN;
	if (end == BH__TRANSFER_CLOSED && is_stream && !a->dispatch_events)
		return BH__DISPATCH_BROKEN;
	return status >= 500 || a->body == BH__ANSWER_BODY_FAILURE ? BH__DISPATCH_FAILED : BH__DISPATCH_ANSWERED;
}
