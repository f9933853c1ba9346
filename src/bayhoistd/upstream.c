/* SPDX-License-Identifier: BSD-3-Clause */
/* Calls to endpoints for attempts. An engine's answer is a stream of server-sent events whose ids are
 * "ATTEMPT:OFFSET"; events of any other attempt are dropped here and in the node. */
#include "daemon.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <stdio.h>
#include <string.h>
#include "clock.h"
#include "head_check.h"
#include "log.h"
#include "socket_state.h"
#include "web.h"
#include "web_call.h"

#define STATUS_CONTINUE 100
#define ANSWER_TIMEOUT_S 60 /* without a byte from the endpoint */
#define CANCEL_TIMEOUT_S 5
#define CANCEL_REPLY_MAX_BYTES (64 * 1024) /* of which nothing is of use */
#define ERROR_TEXT_MAX 120
#define LINE_MAX_BYTES (256 * 1024)       /* of an engine's events */
#define ATTACH_LEN (BH__ADDRESS_LEN + 20) /* "IP:port/attempt," */

typedef struct {
	Daemon *daemon;
	BH__AttemptCall call;
	struct evhttp_connection *conn;
	HeadCheck *check;
	struct event *end; /* frees the call outside evhttp's callbacks */
	struct evbuffer *lines;
	Body *body;
	int status;
	bool not_run;   /* the endpoint said so */
	bool failed;    /* after the connection was made */
	bool is_unsent; /* the endpoint's VM had not acknowledged the request when the connection was closed */
	bool done;      /* the last event has come */
	bool retired;
	uint64_t event_attempt; /* of the event being read */
	uint64_t event_offset;
	uint64_t next_offset; /* that the last event must carry */
	uint64_t service_offset;
	char message[ERROR_TEXT_MAX];
} Upstream;

static const BH__Endpoint *endpoint_(Daemon *d, uint64_t endpoint_id);
static void write_headers_(Upstream *u, struct evhttp_request *req, const char *address);
static void write_body_(Upstream *u, struct evhttp_request *req, Caller *caller);
static void release_body_(const void *data, size_t len, void *body);
static int on_head_(struct evhttp_request *req, void *arg);
static void on_data_(struct evhttp_request *req, void *arg);
static void read_events_(Upstream *u);
static bool read_event_line_(Upstream *u, const char *line, size_t len);
static void on_error_(enum evhttp_request_error error, void *arg);
static void on_done_(struct evhttp_request *req, void *arg);
static void on_closed_(struct evhttp_connection *conn, void *arg);
static bool ends_with_connection_(struct evhttp_request *req);
static void finish_(Upstream *u, BH__AttemptEnd end);
static BH__AttemptEnd judge_(const Upstream *u, struct evhttp_request *req);
static void retire_(Upstream *u);
static void on_end_(evutil_socket_t fd, short what, void *arg);
static void free_(Upstream *u);
static void send_cancel_(Daemon *d, uint64_t attempt_id, uint64_t endpoint_id);
static void on_cancelled_(struct evhttp_request *req, void *arg);
static const char *path_(const Upstream *u, const Caller *caller, char *buffer, size_t size);

static const BH__Endpoint *endpoint_(Daemon *d, uint64_t endpoint_id)
{
	const BH__Resource *r = bh__catalog_find(bh__node_get_catalog(d->node), BH__KIND_ENDPOINT, endpoint_id);
	return r ? &r->as.endpoint : NULL;
}

static const char *path_(const Upstream *u, const Caller *caller, char *buffer, size_t size)
{
	switch (u->call.kind) {
	case BH__CALL_SEGMENT:
		return "/v1/kv/segments";
	case BH__CALL_RESUME:
		g_snprintf(buffer, size, "/v1/streams/%016" G_GINT64_MODIFIER "x", u->call.attempt_id);
		return buffer;
	case BH__CALL_ANSWER:
	case BH__CALL_SERVICE:
		break;
	}
	return caller_get_path(caller);
}

/* Starts a call. Its end always comes back to the node, from the loop. */
void upstream_start(BH__NodePorts *ports, const BH__AttemptCall *call)
{
	Daemon *d = (Daemon *)ports;
	const BH__Endpoint *e = endpoint_(d, call->endpoint_id);
	Caller *caller = caller_find(d, call->request_id);
	Upstream *u = g_new0(Upstream, 1);
	struct evhttp_request *req;
	char buffer[64];

	u->daemon = d;
	u->call = *call;
	u->next_offset = call->answer_chunk_offset;
	u->lines = evbuffer_new();
	u->end = event_new(d->base, -1, 0, on_end_, u);
	g_hash_table_insert(d->upstreams, &u->call.attempt_id, u);
	if (!e || !caller) { /* the endpoint was deleted a moment ago */
		event_active(u->end, EV_TIMEOUT, 0);
		return;
	}
	u->body = body_ref(caller_get_body(caller));
	u->conn = connect_open(d, e->address, e->tls);
	u->check = head_check_new(u->conn);
	evhttp_connection_set_closecb(u->conn, on_closed_, u);
	evhttp_connection_set_timeout(u->conn, ANSWER_TIMEOUT_S);
	req = evhttp_request_new(on_done_, u);
	evhttp_request_set_header_cb(req, on_head_);
	evhttp_request_set_chunked_cb(req, on_data_);
	evhttp_request_set_error_cb(req, on_error_);
	write_headers_(u, req, e->address);
	if (call->kind != BH__CALL_RESUME)
		write_body_(u, req, caller);
	if (call->kind != BH__CALL_SEGMENT)
		caller_set_upstream(caller, u->conn);
	evhttp_make_request(u->conn, req,
						call->kind == BH__CALL_RESUME    ? EVHTTP_REQ_GET
						: call->kind == BH__CALL_SERVICE ? caller_get_method(caller)
														 : EVHTTP_REQ_POST,
						path_(u, caller, buffer, sizeof buffer));
}

static void write_headers_(Upstream *u, struct evhttp_request *req, const char *address)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	const BH__AttemptCall *call = &u->call;
	const Caller *caller = caller_find(u->daemon, call->request_id);
	char text[BH__GRANT_MEMBERS_MAX * BH__PARTS_MAX * ATTACH_LEN] = "";

	evhttp_add_header(headers, "Host", address);
	evhttp_add_header(headers, "Connection", "close");
	evhttp_add_header(headers, "Content-Type", caller_get_content_type(caller));
	g_snprintf(text, sizeof text, "%016" G_GINT64_MODIFIER "x", call->attempt_id);
	evhttp_add_header(headers, "X-Bayhoist-Attempt", text);
	g_snprintf(text, sizeof text, "%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x",
			   bh__members_get_self(bh__node_get_members(u->daemon->node))->node_id,
			   bh__members_get_self(bh__node_get_members(u->daemon->node))->boot_id);
	evhttp_add_header(headers, "X-Bayhoist-Owner", text);
	g_snprintf(text, sizeof text, "%u", call->priority_level);
	evhttp_add_header(headers, "X-Bayhoist-Priority", text);
	if (call->kind == BH__CALL_SEGMENT || call->member_count > 0) {
		g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT "+%" G_GUINT64_FORMAT, call->first_token,
				   call->token_count);
		evhttp_add_header(headers, "X-Bayhoist-Range", text);
	}
	text[0] = '\0';
	for (unsigned i = 0; i < call->member_count; i++) {
		const BH__Endpoint *member = endpoint_(u->daemon, call->member[i]);
		size_t used = strlen(text);
		g_snprintf(text + used, sizeof text - used, "%s%s/%016" G_GINT64_MODIFIER "x", i ? "," : "",
				   member ? member->address : "", call->member_attempt[i]);
	}
	if (call->member_count > 0)
		evhttp_add_header(headers, "X-Bayhoist-Attach", text);
	g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, call->answer_chunk_offset);
	if (call->kind == BH__CALL_RESUME)
		evhttp_add_header(headers, "Last-Event-ID", text);
	else if (call->answer_chunk_offset > 0)
		evhttp_add_header(headers, "X-Bayhoist-Continue", text);
}

static void release_body_(const void *data, size_t len, void *body)
{
	(void)data;
	(void)len;
	body_unref(body);
}

/* The body is the caller's, by reference. A completion always streams towards us, and one that goes on after
 * a lost engine is told the text that the caller has. */
static void write_body_(Upstream *u, struct evhttp_request *req, Caller *caller)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(req);
	struct json_object *text = NULL;

	if (!u->body->len)
		return;
	if (u->call.kind == BH__CALL_SERVICE) {
		evbuffer_add_reference(out, u->body->data, u->body->len, release_body_, body_ref(u->body));
		return;
	}
	evbuffer_add_reference(out, u->body->data, u->body->open_len, release_body_, body_ref(u->body));
	if (u->call.answer_chunk_offset > 0) {
		char *given = caller_get_text(caller);
		text = json_object_new_string(given);
		g_free(given);
		evbuffer_add_printf(out, ",\"bayhoist_continue_text\":%s", json_object_to_json_string(text));
		json_object_put(text);
	}
	evbuffer_add_printf(out, ",\"stream\":true}");
}

/* Reads the head of an answer. Returns -1, which breaks the call off, for a head that is none, and for an
 * interim one other than 100: evhttp takes it for the final one and reads no further. */
static int on_head_(struct evhttp_request *req, void *arg)
{
	Upstream *u = arg;
	Caller *caller = caller_find(u->daemon, u->call.request_id);
	const char *verdict = web_get_header(req, "X-Bayhoist-Verdict");

	if (head_check_get_fault(u->check)) {
		log_event("answer", "what=bad cause=\"%s\"", head_check_get_fault(u->check));
		return -1;
	}
	u->status = evhttp_request_get_response_code(req);
	if (u->status / 100 == 1)
		return u->status == STATUS_CONTINUE ? 0 : -1;
	u->not_run = verdict && !strcmp(verdict, BH__VerdictString[BH__VERDICT_NOT_RUN]);
	if (caller && u->call.kind == BH__CALL_SERVICE && !u->not_run)
		caller_set_head(caller, u->status, web_get_header(req, "Content-Type"));
	return 0;
}

static void on_data_(struct evhttp_request *req, void *arg)
{
	Upstream *u = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);

	if (u->retired || u->not_run)
		return;
	if (u->call.kind == BH__CALL_SERVICE) {
		size_t len = evbuffer_get_length(in);
		const char *data = (const char *)evbuffer_pullup(in, -1);
		if (len)
			bh__node_process_answer_chunk(u->daemon->node, u->call.attempt_id, u->service_offset++, data, len,
										  clock_now_us());
	}
	else if (u->status == 200 && u->call.kind != BH__CALL_SEGMENT) {
		evbuffer_add_buffer(u->lines, in);
		read_events_(u);
		if (!u->retired && evbuffer_get_length(u->lines) > LINE_MAX_BYTES)
			finish_(u, BH__ATTEMPT_BROKEN);
	}
	else {
		ev_ssize_t n = evbuffer_copyout(in, u->message, sizeof u->message - 1);
		u->message[n > 0 ? n : 0] = '\0';
		g_strdelimit(u->message, "\"\\\r\n", ' ');
	}
}

static void read_events_(Upstream *u)
{
	size_t len;
	char *line;

	while (!u->retired && (line = evbuffer_readln(u->lines, &len, EVBUFFER_EOL_LF))) {
		bool go_on = read_event_line_(u, line, len);
		free(line);
		if (!go_on)
			return;
	}
}

/* Takes one line of an event. Returns false if the call was cancelled by what it said. */
static bool read_event_line_(Upstream *u, const char *line, size_t len)
{
	if (!strncmp(line, "id: ", 4)) {
		if (sscanf(line + 4, "%16" G_GINT64_MODIFIER "x:%" G_GINT64_MODIFIER "u", &u->event_attempt,
				   &u->event_offset) != 2)
			u->event_attempt = 0;
		return true;
	}
	if (strncmp(line, "data: ", 6) != 0)
		return true;
	if (!strcmp(line + 6, "[DONE]")) {
		u->done = u->event_attempt == u->call.attempt_id && u->event_offset == u->next_offset;
		return true;
	}
	if (u->event_attempt == u->call.attempt_id && u->event_offset == u->next_offset)
		u->next_offset++;
	/* an event of another attempt is handed on under its own id, and counted and dropped there */
	bh__node_process_answer_chunk(u->daemon->node,
								  u->event_attempt == u->call.attempt_id ? u->event_attempt : 0,
								  u->event_offset, line + 6, len - 6, clock_now_us());
	return !u->retired;
}

static void on_error_(enum evhttp_request_error error, void *arg)
{
	(void)error;
	((Upstream *)arg)->failed = true;
}

/* The call is over. libevent calls back with a request but no status if the connection was never made, and
 * after on_error_() if it was made and then failed. */
static void on_done_(struct evhttp_request *req, void *arg)
{
	Upstream *u = arg;

	if (!u->retired)
		finish_(u, judge_(u, req));
}

/* Takes a call out of use and tells the node how it ended. */
static void finish_(Upstream *u, BH__AttemptEnd end)
{
	char message[ERROR_TEXT_MAX];
	BH__AttemptCall call = u->call;
	Daemon *d = u->daemon;

	memcpy(message, u->message, sizeof message);
	retire_(u);
	bh__node_process_attempt_end(d->node, call.attempt_id, call.segment, end, message[0] ? message : NULL,
								 clock_now_us());
}

/* Looks, before the connection is closed, whether the endpoint took the whole request: evhttp takes the end
 * of the connection for that of an answer although a part of the request is still in the kernel. */
static void on_closed_(struct evhttp_connection *conn, void *arg)
{
	evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn));

	((Upstream *)arg)->is_unsent = socket_has_failed(fd) || socket_has_unsent(fd);
}

/* Returns true if the end of the connection alone tells that the answer is whole. */
static bool ends_with_connection_(struct evhttp_request *req)
{
	int status = evhttp_request_get_response_code(req);

	return !web_get_header(req, "Content-Length") && !web_get_header(req, "Transfer-Encoding") &&
		   status != HTTP_NOCONTENT && status != HTTP_NOTMODIFIED;
}

static BH__AttemptEnd judge_(const Upstream *u, struct evhttp_request *req)
{
	if (u->not_run)
		return BH__ATTEMPT_REFUSED;
	if (!u->failed && (!req || evhttp_request_get_response_code(req) == 0))
		return BH__ATTEMPT_UNREACHABLE;
	if (u->failed || !req || (u->is_unsent && ends_with_connection_(req)))
		return BH__ATTEMPT_BROKEN;
	if (u->call.kind == BH__CALL_SERVICE)
		return BH__ATTEMPT_DONE;
	if (u->status == 200)
		return u->call.kind == BH__CALL_SEGMENT || u->done ? BH__ATTEMPT_DONE : BH__ATTEMPT_BROKEN;
	if (u->call.kind == BH__CALL_RESUME || u->status >= 500)
		return BH__ATTEMPT_UNKNOWN;
	return BH__ATTEMPT_REJECTED;
}

/* Takes a call out of use; it is freed from the loop. */
static void retire_(Upstream *u)
{
	Caller *caller = caller_find(u->daemon, u->call.request_id);

	if (u->retired)
		return;
	u->retired = true;
	if (g_hash_table_lookup(u->daemon->upstreams, &u->call.attempt_id) == u)
		g_hash_table_remove(u->daemon->upstreams, &u->call.attempt_id);
	if (caller)
		caller_set_upstream(caller, NULL);
	event_active(u->end, EV_TIMEOUT, 0);
}

static void on_end_(evutil_socket_t fd, short what, void *arg)
{
	Upstream *u = arg;
	BH__AttemptCall call = u->call;
	Daemon *d = u->daemon;
	bool never_started = !u->retired;

	(void)fd;
	(void)what;
	if (never_started)
		g_hash_table_remove(d->upstreams, &u->call.attempt_id);
	free_(u);
	if (never_started)
		bh__node_process_attempt_end(d->node, call.attempt_id, call.segment, BH__ATTEMPT_UNREACHABLE, NULL,
									 clock_now_us());
}

static void free_(Upstream *u)
{
	head_check_delete(u->check);
	if (u->conn)
		evhttp_connection_free(u->conn);
	event_free(u->end);
	evbuffer_free(u->lines);
	body_unref(u->body);
	g_free(u);
}

/* Ends the call of an attempt, if one is out, and tells the endpoint to drop the attempt, if one is named. */
void upstream_cancel(BH__NodePorts *ports, uint64_t attempt_id, uint64_t endpoint_id)
{
	Daemon *d = (Daemon *)ports;
	Upstream *u = g_hash_table_lookup(d->upstreams, &attempt_id);

	if (u && (endpoint_id == BH__NO_ENDPOINT || u->call.endpoint_id == endpoint_id))
		retire_(u);
	if (endpoint_id != BH__NO_ENDPOINT)
		send_cancel_(d, attempt_id, endpoint_id);
}

static void send_cancel_(Daemon *d, uint64_t attempt_id, uint64_t endpoint_id)
{
	const BH__Endpoint *e = endpoint_(d, endpoint_id);
	const BH__Resource *model =
		e ? bh__catalog_find(bh__node_get_catalog(d->node), BH__KIND_MODEL, bh__hash_name(e->model)) : NULL;
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	WebCall *call;
	char path[64];

	if (!e || (model && model->as.model.service))
		return;
	conn = connect_open(d, e->address, e->tls);
	g_snprintf(path, sizeof path, "/v1/attempts/%016" G_GINT64_MODIFIER "x", attempt_id);
	evhttp_connection_set_timeout(conn, CANCEL_TIMEOUT_S);
	call = web_call_new(d->base, conn, on_cancelled_, NULL);
	web_call_limit(call, CANCEL_REPLY_MAX_BYTES, CANCEL_TIMEOUT_S * 1000);
	req = web_call_get_request(call);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", e->address);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	web_call_start(call, EVHTTP_REQ_DELETE, path);
}

/* Nothing hangs on the answer: an attempt that is not dropped shows in the engine's report. */
static void on_cancelled_(struct evhttp_request *req, void *arg)
{
	(void)req;
	(void)arg;
}

/* Frees all calls; for the end of the process. */
void upstreams_free(Daemon *d)
{
	GList *all = g_hash_table_get_values(d->upstreams);
	for (GList *it = all; it; it = it->next)
		free_(it->data);
	g_list_free(all);
	g_hash_table_remove_all(d->upstreams);
}
