/* SPDX-License-Identifier: BSD-3-Clause */
/* One HTTP call on a connection of its own. An answer whose head is none is no answer. Two habits of evhttp
 * are kept from its callers: it tells of a connection that fails at once before the call to it returns, and a
 * connection that it is to free by itself (evhttp_connection_free_on_completion) stays for good where it
 * could not be established. */
#include "web_call.h"

#include <glib.h>
#include <stdbool.h>
#include "head_check.h"
#include "log.h"

struct WebCall {
	WebCallDone done;
	void *arg;
	struct event_base *base;
	struct evhttp_connection *conn;
	HeadCheck *check;
	struct evhttp_request *req; /* evhttp's, until it has ended */
	bool is_starting;           /* web_call_start() has not returned yet */
	bool has_failed_at_once;
	bool has_begun;     /* the head of the answer has come */
	struct event *late; /* fires when the call has taken too long; NULL: it may take any time */
};

static int on_head_(struct evhttp_request *req, void *arg);
static void on_done_(struct evhttp_request *req, void *arg);
static void on_late_(evutil_socket_t fd, short what, void *arg);
static void stop_timer_(WebCall *call);
static void on_failed_at_once_(evutil_socket_t fd, short what, void *arg);
static void on_end_(evutil_socket_t fd, short what, void *arg);
static void run_from_loop_(WebCall *call, event_callback_fn run);

/* Returns a call over `conn`, which it takes over. `done` is called once, from the loop; both are gone after
 * that. */
WebCall *web_call_new(struct event_base *base, struct evhttp_connection *conn, WebCallDone done, void *arg)
{
	WebCall *call = g_new0(WebCall, 1);

	call->done = done;
	call->arg = arg;
	call->base = base;
	call->conn = conn;
	call->check = head_check_new(conn);
	call->req = evhttp_request_new(on_done_, call);
	evhttp_request_set_header_cb(call->req, on_head_);
	return call;
}

/* Returns the request, to be filled in before the start. */
struct evhttp_request *web_call_get_request(const WebCall *call)
{
	return call->req;
}

/* Bounds the answer, which evhttp takes whole otherwise, however long it is: its head by WEB_ANSWER_HEAD_MAX,
 * its body in bytes, and the whole call in time. A call beyond a bound has no answer. To be called before the
 * start. */
void web_call_limit(WebCall *call, size_t body_bytes, uint64_t time_ms)
{
	struct timeval tv = {(time_t)(time_ms / 1000), (suseconds_t)(time_ms % 1000 * 1000)};

	evhttp_connection_set_max_headers_size(call->conn, WEB_ANSWER_HEAD_MAX);
	evhttp_connection_set_max_body_size(call->conn, (ev_ssize_t)body_bytes);
	call->late = evtimer_new(call->base, on_late_, call);
	evtimer_add(call->late, &tv);
}

/* Ends a call that has taken too long. */
static void on_late_(evutil_socket_t fd, short what, void *arg)
{
	WebCall *call = arg;

	call->done(NULL, call->arg);
	on_end_(fd, what, call);
}

static void stop_timer_(WebCall *call)
{
	if (call->late)
		event_free(call->late);
	call->late = NULL;
}

void web_call_start(WebCall *call, enum evhttp_cmd_type method, const char *path)
{
	call->is_starting = true;
	if (evhttp_make_request(call->conn, call->req, method, path) != 0)
		call->has_failed_at_once = true;
	call->is_starting = false;
	if (call->has_failed_at_once) {
		stop_timer_(call);
		run_from_loop_(call, on_failed_at_once_);
	}
}

static int on_head_(struct evhttp_request *req, void *arg)
{
	(void)req;
	((WebCall *)arg)->has_begun = true;
	return 0;
}

/* Returns true once the head of the answer has come. */
bool web_call_has_begun(const WebCall *call)
{
	return call->has_begun;
}

static void on_done_(struct evhttp_request *req, void *arg)
{
	WebCall *call = arg;

	if (call->is_starting) {
		call->has_failed_at_once = true;
		return;
	}
	stop_timer_(call);
	if (head_check_get_fault(call->check)) {
		log_event("answer", "what=bad cause=\"%s\"", head_check_get_fault(call->check));
		req = NULL;
	}
	call->done(req, call->arg);
	run_from_loop_(call, on_end_); /* evhttp still uses the connection */
}

static void on_failed_at_once_(evutil_socket_t fd, short what, void *arg)
{
	WebCall *call = arg;

	call->done(NULL, call->arg);
	on_end_(fd, what, call);
}

static void on_end_(evutil_socket_t fd, short what, void *arg)
{
	WebCall *call = arg;

	(void)fd;
	(void)what;
	stop_timer_(call);
	head_check_delete(call->check);
	evhttp_connection_free(call->conn);
	g_free(call);
}

static void run_from_loop_(WebCall *call, event_callback_fn run)
{
	const struct timeval at_once = {0, 0};

	event_base_once(call->base, -1, EV_TIMEOUT, run, call, &at_once);
}
