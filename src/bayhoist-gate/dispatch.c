/* SPDX-License-Identifier: BSD-3-Clause */
/* One dispatch of a request to an endpoint: writes the request, classifies the answer, and forwards it to the
 * caller. */
#include "call_internal.h"

#include <string.h>
#include "clock.h"
#include "crashes.h"
#include "links.h"
#include "log.h"

/* Bytes of an answer that are buffered at most; a longer one is forwarded before it is complete. */
#define BUFFERED_MAX (256 * 1024)
/* Bytes of one event of a stream, which is kept until it is whole: as many as of any answer, or fewer under
 * the memory budget, but never fewer than EVENT_MAX_LEAST, which holds the text of a long answer. */
#define EVENT_MAX BUFFERED_MAX
#define EVENT_MAX_LEAST (64 * 1024)
/* A gap in an answer is reported to the scheduler if it lasts at least this many engine iterations without
 * prefill. */
#define LONG_ITERATION_FACTOR 2.0
/* An answer that stayed unread for so long may be cut by its endpoint, which need not keep it. The cut is
 * seen within UNREAD_CUT_MS after reading goes on. */
#define UNREAD_MS 200
#define UNREAD_CUT_MS 1000
#define CAUSE_MAX 100 /* bytes of a refusal's body that are logged at most */

static void log_dispatch_(const Call *c, const BH__RegisteredEndpoint *e);
static void write_request_(Call *c, const BH__RegisteredEndpoint *e, struct evbuffer *out);
static void fill_helpers_(const Call *c, DispatchMeta *meta);
static void on_head_(void *ctx, const OutboundHead *head);
static void on_body_(void *ctx, const char *data, size_t len);
static void process_failure_(Call *c);
static void note_endpoint_(const Call *c);
static void note_part_(Call *c, uint64_t now_us);
static void note_pause_(Call *c, uint64_t pause_us);
static void on_end_(void *ctx, BH__TransferEnd end, bool is_own_fault);
static BH__EndpointOutcome outcome_(const Call *c, BH__DispatchEnd end, uint64_t now_us);
static bool was_cut_unread_(const Call *c, BH__DispatchEnd end, uint64_t now_us);
static bool is_unexplained_(const Call *c, BH__DispatchEnd end);
static void report_crash_(Call *c, BH__DispatchEnd end, uint64_t at_fault);
static void decide_(Call *c);
static void decide_end_(Call *c, BH__DispatchEnd end);
static void forward_plain_(Call *c);
static void forward_events_(Call *c, uint64_t now_us);
static void check_event_size_(Call *c, size_t len);
static void forward_(Call *c, const char *data, size_t len);
static void notify_progress_(Call *c);
static void begin_answer_(Call *c);
static uint64_t find_at_fault_(const Call *c);
static void log_dispatch_end_(const Call *c, BH__DispatchEnd end, BH__NextAction next, uint64_t now_us);

static const OutboundCallbacks Callbacks_ = {.on_head = on_head_, .on_body = on_body_, .on_end = on_end_};

/* Dispatches the request to an endpoint, which must be registered. Resets the state of the last dispatch;
 * the received part of an earlier answer's event stream is kept, so that the stream can be resumed. */
void dispatch_start(Call *c, uint64_t endpoint_id)
{
	Gate *g = c->gate;
	BH__RegisteredEndpoint *e = bh__registry_find(g->registry, endpoint_id);
	struct evbuffer *out = evbuffer_new();

	c->state = CALL_DISPATCHED;
	c->endpoint_id = endpoint_id;
	c->sent_us = clock_now_us();
	c->received_us = c->sent_us;
	c->silence_us = 0;
	memset(&c->silence, 0, sizeof c->silence);
	c->end_known = false;
	c->is_own_fault = false;
	c->silence_reported = false;
	c->unread_until_us = 0;
	bh__answer_assembly_process_dispatch(&c->answer);
	c->progress_notified = false;
	c->pauses = 0;
	evbuffer_drain(c->body, evbuffer_get_length(c->body));
	write_request_(c, e, out);
	g->counters.dispatches++;
	c->endpoint_incarnation = bh__registry_note_start(g->registry, endpoint_id, c->sent_us);
	log_dispatch_(c, e);
	call_note_sent_at_stop(c);
	last_endpoints_note_dispatch(g, e, c->sent_us);
	c->out = outbound_start(g, e, out, c->request->meta.request_id, &Callbacks_, c);
	evbuffer_free(out);
	call_set_timer(c, c->sent_us);
}

/* Logs a dispatch with its helpers; "/memory" marks a helper that holds reserved memory. */
static void log_dispatch_(const Call *c, const BH__RegisteredEndpoint *e)
{
	const BH__Grant *g = &c->admission.grant;
	GString *helpers = g_string_new(NULL);

	for (unsigned i = 1; g->grant_id && i < g->member_count; i++) {
		const BH__RegisteredEndpoint *h = bh__registry_find(c->gate->registry, g->member[i].endpoint_id);
		g_string_append_printf(helpers, "%s%s%s", i > 1 ? "," : "", h ? h->entry.id : "gone",
							   g->member[i].kv_bytes ? "/memory" : "");
	}
	log_event("send",
			  "request=%s endpoint=%s service=%s prompt_tokens=%" G_GUINT64_FORMAT
			  " sendings=%u after=%s left_ms=%" G_GUINT64_FORMAT " expected_ms=%" G_GUINT64_FORMAT
			  " limit_per_s=%.3f helpers=%s",
			  c->request->meta.request_id, e->entry.id, c->service->name, c->request->meta.prompt_tokens,
			  c->retry.dispatches, c->answer.events.last_id, (c->retry.deadline_us - c->sent_us) / BH__MS_US,
			  g->grant_id ? g->expected_us / BH__MS_US : 0,
			  e->signals.advertised.in_force ? e->signals.advertised.per_s : -1.0, helpers->str);
	g_string_free(helpers, TRUE);
}

/* Writes the HTTP request for the endpoint: the caller's headers that are passed through, the platform's own
 * ones, and the body. */
static void write_request_(Call *c, const BH__RegisteredEndpoint *e, struct evbuffer *out)
{
	const InboundRequest *r = c->request;
	bool has_body = r->body->len || !strcmp(r->method, "POST") || !strcmp(r->method, "PUT") ||
					!strcmp(r->method, "PATCH");
	DispatchMeta meta = {.endpoint = e->entry.id,
						 .account = c->owner ? c->owner->name : NULL,
						 .last_event_id =
							 c->answer.events.last_id[0] ? c->answer.events.last_id : r->meta.last_event_id,
						 .time_left_us = c->retry.deadline_us - c->sent_us,
						 .urgency = -1};

	fill_helpers_(c, &meta);
	evbuffer_add_printf(out, "%s %s HTTP/1.1\r\n", r->method, r->target);
	evbuffer_add(out, r->headers->str, r->headers->len);
	c->gate->port->write_dispatch_headers(out, &r->meta, &meta);
	if (has_body)
		evbuffer_add_printf(out, "Content-Length: %u\r\n", r->body->len);
	evbuffer_add(out, "\r\n", 2);
	evbuffer_add(out, r->body->data, r->body->len);
}

/* Lists the grant's helpers, which prefill parts of the prompt, except those that take no work any more
 * and those in a hall to which the engine has no path: it would turn the request away for their sake. Helpers
 * with reserved memory come first, because their memory is filled in this order. */
static void fill_helpers_(const Call *c, DispatchMeta *meta)
{
	const BH__Grant *g = &c->admission.grant;

	if (!g->grant_id)
		return;
	for (int with_memory = 1; with_memory >= 0; with_memory--) {
		for (unsigned i = 1; i < g->member_count; i++) {
			const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, g->member[i].endpoint_id);
			if ((g->member[i].kv_bytes > 0) != (with_memory == 1) || !e ||
				!call_endpoint_is_usable(c, e->endpoint_id) ||
				!links_has_path_between(c->gate->links, g->member[0].endpoint_id, e->endpoint_id))
				continue;
			meta->helper[meta->helper_count].address = e->entry.address;
			meta->helper[meta->helper_count].memory_id =
				c->memory ? memory_hold_get_id(c->memory, e->endpoint_id) : NULL;
			meta->helper_count++;
		}
	}
}

/* Processes the head of an answer: takes the endpoint's load and signals, and decides what becomes of the
 * answer. The endpoint is left at once if the head has decided the dispatch's end. */
static void on_head_(void *ctx, const OutboundHead *head)
{
	Call *c = ctx;
	GString *headers = c->head.headers;
	uint64_t now_us = clock_now_us();

	call_stop_replacing(c);
	call_note_gap(c, now_us - c->received_us);
	c->received_us = now_us;
	silences_note_heard(c, c->received_us);
	c->head = *head;
	c->head.headers = headers;
	g_string_assign(headers, head->headers->str);
	decide_(c);
	note_endpoint_(c);
	if (c->answer.body == BH__ANSWER_BODY_FAILURE)
		process_failure_(c);
	call_set_timer(c, c->received_us);
}

/* Ends the dispatch by the head of a failure if another one follows. Otherwise the failure is handed on, if
 * its body is not late. */
static void process_failure_(Call *c)
{
	BH__ServiceRetryBudget *budget = gate_get_budget(c->gate, c->service->name);

	if (bh__retry_state_may_follow_failure(&c->retry, budget, c->received_us))
		decide_end_(c, BH__DISPATCH_FAILED);
	else
		outbound_limit_rest(c->out);
}

/* Records the load and the signals of the endpoint that are in an answer's head. Skips an answer that another
 * endpoint at the same address gave, or another system, since it says nothing about this one, and one whose
 * status means that the request did not run. */
static void note_endpoint_(const Call *c)
{
	const AnswerMeta *m = &c->head.meta;
	bool is_foreign = c->end_known && c->known_end == BH__DISPATCH_BROKEN;
	AnswerOrigin origin = {.endpoint_id = c->endpoint_id,
						   .incarnation = c->endpoint_incarnation,
						   .sent_us = c->sent_us,
						   .received_us = c->received_us,
						   .status = c->head.status,
						   .is_served = !m->not_run && m->has_mac,
						   .request_id = c->request->meta.request_id};

	if (is_foreign || c->gate->port->status_says_not_run(c->head.status))
		return;
	if (m->has_load)
		bh__registry_note_load(c->gate->registry, c->endpoint_id, m->running, m->waiting, c->received_us);
	signals_note_answer(c->gate, &origin, m);
}

/* Processes a part of the answer's body: forwards it, or buffers it up to BUFFERED_MAX bytes. Of an answer
 * whose head has already decided the dispatch's end, only the first bytes are kept, for the log. */
static void on_body_(void *ctx, const char *data, size_t len)
{
	Call *c = ctx;
	uint64_t now_us;

	if (c->end_known) {
		if (!evbuffer_get_length(c->body))
			evbuffer_add(c->body, data, MIN(len, (size_t)CAUSE_MAX));
		return;
	}
	now_us = clock_now_us();
	call_stop_replacing(c);
	memory_hold_note_received(c->memory);
	silences_note_heard(c, now_us);
	evbuffer_add(c->body, data, len);
	if (call_is_streaming(c) && memchr(data, '\n', len)) {
		forward_events_(c, now_us);
	}
	else if (call_is_streaming(c)) {
		check_event_size_(c, evbuffer_get_length(c->body));
	}
	else {
		note_part_(c, now_us);
		forward_plain_(c);
	}
}

/* Records that the endpoint has gone on with its answer: by an event of a stream, or any part of another
 * answer. */
static void note_part_(Call *c, uint64_t now_us)
{
	call_note_gap(c, now_us - c->received_us);
	if (c->retry.answer_begun)
		note_pause_(c, now_us - c->received_us);
	c->received_us = now_us;
}

/* Forwards what has come of a plain answer if it has outgrown its buffer. A failure may be followed by
 * another dispatch until it is complete, so nothing of it is forwarded; one that outgrows the buffer is no
 * answer. */
static void forward_plain_(Call *c)
{
	size_t len = evbuffer_get_length(c->body);
	bool is_outgrown = len > answer_buffer_get_max(c->gate, BUFFERED_MAX);

	if (is_outgrown && c->answer.body == BH__ANSWER_BODY_FAILURE) {
		log_event("answer", "what=failure-too-large request=%s bytes=%zu", c->request->meta.request_id, len);
		decide_end_(c, BH__DISPATCH_BROKEN);
	}
	else if (is_outgrown || c->answer.begun == BH__ANSWER_BODY_PLAIN) {
		forward_(c, (const char *)evbuffer_pullup(c->body, -1), len);
		evbuffer_drain(c->body, len);
	}
}

/* Records a gap of `pause_us` in an answer. Reports it to the scheduler if it is long enough for an engine
 * iteration with prefill. The first gap of an answer to a prompt that several engines prefill is not one
 * iteration (see placement.c), so it isn't reported. */
static void note_pause_(Call *c, uint64_t pause_us)
{
	double iteration_ms = bh__engine_model_iteration_ms(&c->service->engine, 1, 0);
	bool is_iteration = c->pauses++ > 0 || c->admission.grant.member_count < 2;

	c->longest_pause_us = MAX(c->longest_pause_us, pause_us);
	if (is_iteration && call_is_streaming(c) && c->service->is_engine &&
		(double)pause_us / 1000 >= iteration_ms * LONG_ITERATION_FACTOR)
		cluster_notify_iteration(c->gate->cluster, c, pause_us);
}

/* Ends the dispatch when its connection has ended. The end that the head has decided takes precedence. */
static void on_end_(void *ctx, BH__TransferEnd end, bool is_own_fault)
{
	Call *c = ctx;

	c->out = NULL;
	c->is_own_fault |= is_own_fault;
	dispatch_end(c, c->end_known ? c->known_end
								 : bh__answer_assembly_get_end(&c->answer, end, c->head.status,
															   evbuffer_get_length(c->body)));
}

/* Has the library decide what becomes of the answer, by its head. */
static void decide_(Call *c)
{
	const AnswerMeta *m = &c->head.meta;
	BH__AnswerHead head = {.status = c->head.status,
						   .not_run = m->not_run || c->gate->port->status_says_not_run(c->head.status),
						   .is_event_stream = c->head.is_event_stream,
						   .is_encoded = c->head.is_encoded};
	BH__HeadVerdict verdict;

	bh__answer_head_set_origin(&head, c->request->meta.request_id, m->request_id, m->has_mac);
	verdict = bh__answer_assembly_process_head(&c->answer, &head);
	if (verdict.body != BH__ANSWER_BODY_UNUSED)
		return;
	decide_end_(c, verdict.end);
	if (verdict.end == BH__DISPATCH_BROKEN)
		c->gate->counters.bad_answers++;
}

/* Decides how the dispatch ends, whatever else its answer brings. The endpoint is left as soon as what has
 * been received is parsed; only the first bytes of that are kept, for the log. */
static void decide_end_(Call *c, BH__DispatchEnd end)
{
	c->end_known = true;
	c->known_end = end;
	evbuffer_drain(c->body, evbuffer_get_length(c->body));
	outbound_end_after_read(c->out);
}

/* Returns true if the current dispatch's answer is a stream that is forwarded event by event. */
bool call_is_streaming(const Call *c)
{
	return c->answer.body == BH__ANSWER_BODY_EVENTS;
}

/* Forwards the complete events in the buffer that go on with the caller's stream. An event that does not, or
 * that grows too large, decides the dispatch's end. */
static void forward_events_(Call *c, uint64_t now_us)
{
	size_t len = evbuffer_get_length(c->body);
	const char *data = (const char *)evbuffer_pullup(c->body, -1);
	size_t done = 0;
	size_t event_len;
	bool has_part = false;
	BH__EventState state;

	while ((state = bh__answer_assembly_process_event(&c->answer, data + done, len - done, &event_len)) !=
		   BH__EVENT_INCOMPLETE) {
		if (state == BH__EVENT_FOREIGN) {
			log_event("answer", "what=foreign-event request=%s after=%s", c->request->meta.request_id,
					  c->answer.events.last_id);
			decide_end_(c, BH__DISPATCH_FAILED);
			return;
		}
		if (state == BH__EVENT_RELAY && !has_part)
			note_part_(c, now_us);
		has_part |= state == BH__EVENT_RELAY;
		if (state != BH__EVENT_DUPLICATE)
			forward_(c, data + done, event_len);
		done += event_len;
	}
	evbuffer_drain(c->body, done);
	check_event_size_(c, len - done);
	call_set_timer(c, now_us);
}

/* Has an event of which `len` bytes have come without its end break the dispatch if it is too large. */
static void check_event_size_(Call *c, size_t len)
{
	if (len <= MAX(answer_buffer_get_max(c->gate, EVENT_MAX), (size_t)EVENT_MAX_LEAST))
		return;
	log_event("answer", "what=event-too-large request=%s bytes=%zu", c->request->meta.request_id, len);
	c->is_own_fault = true; /* the bound is this node's */
	decide_end_(c, BH__DISPATCH_BROKEN);
}

/* Forwards answer data to the caller, beginning the answer if necessary. Pauses reading from the endpoint if
 * the caller's connection can't take more. */
static void forward_(Call *c, const char *data, size_t len)
{
	if (!c->progress_notified)
		crashes_note_begun(c->gate->crashes, &c->subjects);
	if (!c->progress_notified && c->service->is_engine)
		notify_progress_(c);
	c->progress_notified = true;
	if (!c->retry.answer_begun)
		begin_answer_(c);
	bh__answer_assembly_note_forwarded(&c->answer, len);
	c->retry.not_resumable = !bh__answer_assembly_can_resume(&c->answer);
	if (!inbound_answer_append(c->in, data, len) && !c->paused) {
		c->paused = true;
		c->paused_us = clock_now_us();
		outbound_pause(c->out, true);
	}
}

/* Logs that an engine's answer has begun and notifies the scheduler. */
static void notify_progress_(Call *c)
{
	log_event(
		"first-event",
		"request=%s took_ms=%" G_GUINT64_FORMAT " expected_ms=%" G_GUINT64_FORMAT " target_ms=%u parts=%u",
		c->request->meta.request_id, (c->received_us - c->sent_us) / BH__MS_US,
		c->admission.grant.expected_us / BH__MS_US, c->rule->target_ms, c->admission.grant.member_count);
	cluster_notify_progress(c->gate->cluster, c);
}

/* Sends the head of the answer to the caller; from then on the request can't be answered otherwise. */
static void begin_answer_(Call *c)
{
	uint64_t wait_us = c->received_us - c->request->arrived_us;

	bh__answer_assembly_note_forwarded(&c->answer, 0);
	c->retry.answer_begun = true;
	c->retry.may_have_run = true;
	if (c->service->is_engine) {
		bh__histogram_add(&c->gate->counters.first_event[bh__size_class(c->request->meta.prompt_tokens)],
						  wait_us);
	}
	inbound_answer_begin(c->in, c->head.status, c->head.reason, c->head.headers);
}

/* Ends the caller's answer with that of the current dispatch, which is complete. */
void dispatch_complete_answer(Call *c)
{
	if (call_is_streaming(c) && !c->retry.answer_begun)
		begin_answer_(c);
	if (c->retry.answer_begun)
		inbound_answer_end(c->in);
	else
		inbound_answer_complete(c->in, c->head.status, c->head.reason, c->head.headers, c->body);
}

/* Ends the current dispatch with the given result: cancels its connection if it is still open, releases its
 * grant and memory, and takes the next action. May free the call. */
void dispatch_end(Call *c, BH__DispatchEnd end)
{
	Gate *g = c->gate;
	uint64_t now_us = clock_now_us();
	bool failed = end != BH__DISPATCH_ANSWERED && end != BH__DISPATCH_FAILED && end != BH__DISPATCH_STOPPED;
	uint64_t at_fault = c->endpoint_id;
	BH__NextAction next;

	call_stop_replacing(c);
	if (c->out) {
		c->is_own_fault |= outbound_is_own_fault(c->out);
		outbound_cancel(c->out);
	}
	c->out = NULL;
	c->paused = false;
	g->counters.dispatch_ends[end]++;
	bh__registry_note_end(g->registry, c->endpoint_id, c->endpoint_incarnation, outcome_(c, end, now_us),
						  now_us);
	if (end == BH__DISPATCH_REFUSED)
		at_fault = find_at_fault_(c);
	report_crash_(c, end, at_fault);
	if (is_unexplained_(c, end)) {
		if (!was_cut_unread_(c, end, now_us))
			links_report_broken(g->links, c->service->name, at_fault);
		at_fault = BH__NO_ENDPOINT;
	}
	memory_hold_delete(c->memory);
	c->memory = NULL;
	cluster_release(g->cluster, c,
					end == BH__DISPATCH_BROKEN ? BH__RELEASE_LOST
					: failed                   ? BH__RELEASE_FAILED
											   : BH__RELEASE_DONE,
					failed && !c->is_own_fault ? at_fault : BH__NO_ENDPOINT);
	bh__retry_state_note_tried(&c->retry, at_fault ? at_fault : c->endpoint_id);
	next = bh__retry_state_process_end(&c->retry, end, gate_get_budget(g, c->service->name), now_us);
	log_dispatch_end_(c, end, next, now_us);
	call_act(c, next);
}

/* Returns what the end of a dispatch says of its endpoint: nothing if this node ended it, if the way to the
 * endpoint is at fault, or if the caller did not read the answer. */
static BH__EndpointOutcome outcome_(const Call *c, BH__DispatchEnd end, uint64_t now_us)
{
	if (end == BH__DISPATCH_ANSWERED)
		return BH__ENDPOINT_OUTCOME_SERVED;
	if (end == BH__DISPATCH_REFUSED)
		return BH__ENDPOINT_OUTCOME_REFUSED;
	return end == BH__DISPATCH_STOPPED || c->is_own_fault || was_cut_unread_(c, end, now_us)
			   ? BH__ENDPOINT_OUTCOME_ABANDONED
			   : BH__ENDPOINT_OUTCOME_FAILED;
}

/* Returns true if a dispatch broke off because its answer had stayed unread, which an endpoint need not bear.
 */
static bool was_cut_unread_(const Call *c, BH__DispatchEnd end, uint64_t now_us)
{
	return end == BH__DISPATCH_BROKEN && now_us < c->unread_until_us;
}

/* Returns true if a dispatch broke off and it is open whether the endpoint or this node's links are at fault.
 */
static bool is_unexplained_(const Call *c, BH__DispatchEnd end)
{
	return end == BH__DISPATCH_BROKEN && !c->end_known && !c->is_own_fault;
}

/* Reports the end of a dispatch to crashes.c: a completed answer, or a possible crash of an endpoint that
 * broke off or of a helper that is gone. An answer to another request is no sign of a crash, since its
 * endpoint is alive. */
static void report_crash_(Call *c, BH__DispatchEnd end, uint64_t at_fault)
{
	Crashes *crashes = c->gate->crashes;
	bool broke = is_unexplained_(c, end);
	bool helper_gone = end == BH__DISPATCH_REFUSED && at_fault != c->endpoint_id;
	BH__AbortedDispatch aborted = {.subjects = &c->subjects,
								   .endpoint_id = at_fault,
								   .sent_us = c->sent_us,
								   .was_helper = helper_gone,
								   .had_begun = c->retry.answer_begun};

	c->awaits_evaluation = c->crash_reported && crashes_is_suspected(crashes, &c->subjects);
	if (end == BH__DISPATCH_ANSWERED)
		crashes_note_served(crashes, &c->subjects, c->crash_reported);
	if (!broke && !helper_gone)
		return;
	c->crash_reported = true;
	c->awaits_evaluation |= crashes_note_aborted(crashes, &aborted);
}

/* Returns the id of the endpoint that a refusal names as its cause, which may be a helper, or of the endpoint
 * that refused if none or an unknown one is named. */
static uint64_t find_at_fault_(const Call *c)
{
	const BH__RegisteredEndpoint *e = NULL;

	if (c->head.meta.at_fault[0])
		e = bh__registry_find_address(c->gate->registry, c->head.meta.at_fault);
	return e ? e->endpoint_id : c->endpoint_id;
}

/* Logs the end of a dispatch and the next action; for a refusal or a failure with the first bytes of its
 * body. */
static void log_dispatch_end_(const Call *c, BH__DispatchEnd end, BH__NextAction next, uint64_t now_us)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(c->gate->registry, c->endpoint_id);
	const BH__AnswerAssembly *a = &c->answer;
	char cause[CAUSE_MAX + 1] = "";

	if (end == BH__DISPATCH_REFUSED || end == BH__DISPATCH_FAILED) {
		ev_ssize_t n = evbuffer_copyout(c->body, cause, CAUSE_MAX);
		cause[MAX(n, 0)] = '\0';
		g_strdelimit(cause, "\"\\\r\n", ' ');
	}
	log_event(
		"sent",
		"request=%s endpoint=%s end=%s status=%d sendings=%u took_ms=%" G_GUINT64_FORMAT
		" next=%s no_retry=%s at_fault=%s begun=%s events=%" G_GUINT64_FORMAT " first_event=%s last_event=%s"
		" forwarded_bytes=%" G_GUINT64_FORMAT " cause=\"%s\"",
		c->request->meta.request_id, e ? e->entry.id : "gone", BH__DispatchEndString[end],
		end == BH__DISPATCH_UNREACHABLE ? 0 : c->head.status, c->retry.dispatches,
		(now_us - c->sent_us) / BH__MS_US, BH__NextActionString[next], BH__NoRetryString[c->retry.no_retry],
		c->head.meta.at_fault, c->progress_notified ? "yes" : "no", a->events.events, a->first_id,
		a->first_id[0] ? a->events.last_id : "", a->dispatch_bytes, cause);
}

/* Resumes reading from the endpoint once the caller has taken the data that was queued for it. From then on
 * the endpoint may be silent again for no longer than others. */
void call_on_drained(Call *c)
{
	if (!c->paused || !c->out)
		return;
	c->paused = false;
	c->received_us = clock_now_us();
	if (c->received_us >= c->paused_us + UNREAD_MS * BH__MS_US)
		c->unread_until_us = c->received_us + UNREAD_CUT_MS * BH__MS_US;
	outbound_pause(c->out, false);
	call_set_timer(c, c->received_us);
}
