/* SPDX-License-Identifier: BSD-3-Clause */
/* Passing a request to the node whose life its stamp names, and its answer back, byte for byte. */
#include "daemon.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http_struct.h>
#include <string.h>
#include "head_check.h"
#include "log.h"
#include "web.h"

#define FORWARD_TIMEOUT_S 300

typedef struct {
	struct evhttp_request *caller; /* NULL once it hung up */
	struct evhttp_connection *conn;
	HeadCheck *check;
	struct event *end;
	struct event *hangup; /* NULL once it is no longer watched */
	bool started;
} Forward;

static const char *const CopiedHeaders_[] = {"Authorization",    "Content-Type",
											 "Idempotency-Key",  "X-Bayhoist-Deadline-Ms",
											 "X-Bayhoist-Stamp", "X-Bayhoist-Repeatable"};
static const char *const ReturnedHeaders_[] = {"Content-Type", "Retry-After", "X-Bayhoist-Verdict",
											   "X-Bayhoist-Request", "X-Bayhoist-Replayed"};

static void copy_headers_(struct evhttp_request *from, struct evhttp_request *to, const char *const names[],
						  size_t count);
static void unwatch_(Forward *f);
static int on_head_(struct evhttp_request *req, void *arg);
static void on_data_(struct evhttp_request *req, void *arg);
static void on_done_(struct evhttp_request *req, void *arg);
static void on_end_(evutil_socket_t fd, short what, void *arg);
static void on_closed_(struct evhttp_connection *conn, void *arg);

static void copy_headers_(struct evhttp_request *from, struct evhttp_request *to, const char *const names[],
						  size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const char *value = web_get_header(from, names[i]);
		if (value)
			evhttp_add_header(evhttp_request_get_output_headers(to), names[i], value);
	}
}

/* Passes the request `req` with `body` to the node at `address`; takes over `req`. */
void forward_start(Daemon *d, struct evhttp_request *req, Body *body, const char *address)
{
	Forward *f = g_new0(Forward, 1);
	struct evhttp_request *out = evhttp_request_new(on_done_, f);

	f->caller = req;
	f->conn = connect_open(d, address, d->server_tls != NULL);
	f->check = head_check_new(f->conn);
	f->end = event_new(d->base, -1, 0, on_end_, f);
	evhttp_connection_set_timeout(f->conn, FORWARD_TIMEOUT_S);
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), on_closed_, f);
	f->hangup = web_watch_hangup(d->base, evhttp_request_get_connection(req));
	copy_headers_(req, out, CopiedHeaders_, G_N_ELEMENTS(CopiedHeaders_));
	evhttp_add_header(evhttp_request_get_output_headers(out), "Host", address);
	evhttp_add_header(evhttp_request_get_output_headers(out), "Connection", "close");
	evhttp_request_set_header_cb(out, on_head_);
	evhttp_request_set_chunked_cb(out, on_data_);
	evbuffer_add(evhttp_request_get_output_buffer(out), body->data, body->len);
	evhttp_make_request(f->conn, out, evhttp_request_get_command(req), evhttp_request_get_uri(req));
}

static void unwatch_(Forward *f)
{
	if (f->hangup)
		event_free(f->hangup);
	f->hangup = NULL;
}

/* Begins the caller's answer. Returns -1, which breaks the call off, for a head that is none. */
static int on_head_(struct evhttp_request *req, void *arg)
{
	Forward *f = arg;

	if (head_check_get_fault(f->check)) {
		log_event("answer", "what=bad cause=\"%s\"", head_check_get_fault(f->check));
		return -1;
	}
	if (!f->caller)
		return 0;
	copy_headers_(req, f->caller, ReturnedHeaders_, G_N_ELEMENTS(ReturnedHeaders_));
	evhttp_send_reply_start(f->caller, evhttp_request_get_response_code(req), NULL);
	f->started = true;
	return 0;
}

static void on_data_(struct evhttp_request *req, void *arg)
{
	Forward *f = arg;
	if (f->caller)
		evhttp_send_reply_chunk(f->caller, evhttp_request_get_input_buffer(req));
}

static void on_done_(struct evhttp_request *req, void *arg)
{
	Forward *f = arg;
	bool whole = req && evhttp_request_get_response_code(req) != 0;

	event_active(f->end, EV_TIMEOUT, 0);
	if (!f->caller)
		return;
	unwatch_(f);
	evhttp_connection_set_closecb(evhttp_request_get_connection(f->caller), NULL, NULL);
	if (f->started && whole)
		evhttp_send_reply_end(f->caller);
	else if (f->started) /* the answer broke off: so must ours */
		evhttp_connection_free(evhttp_request_get_connection(f->caller));
	else
		web_reply_error(f->caller, 409, BH__VerdictString[BH__VERDICT_MAY_HAVE_RUN],
						BH__ReasonString[BH__REASON_STAMP_EXPIRED],
						"the node that the stamp names cannot be reached: it may have run");
	f->caller = NULL;
}

static void on_end_(evutil_socket_t fd, short what, void *arg)
{
	Forward *f = arg;

	(void)fd;
	(void)what;
	head_check_delete(f->check);
	evhttp_connection_free(f->conn);
	event_free(f->end);
	g_free(f);
}

static void on_closed_(struct evhttp_connection *conn, void *arg)
{
	(void)conn;
	((Forward *)arg)->caller = NULL;
	unwatch_(arg);
}
