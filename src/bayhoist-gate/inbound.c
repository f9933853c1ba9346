/* SPDX-License-Identifier: BSD-3-Clause */
/* HTTP/1 connections from callers. Each connection reads one complete request at a time and passes it to
 * call.c; answers are forwarded as they arrive. http-parser parses the requests and rejects those whose
 * length is ambiguous; heads and trailers are checked first (bayhoist/http_head.h), since an endpoint may
 * read what http-parser lets pass in another way. This file does not use evhttp, because evhttp answers
 * malformed requests by itself, does not report that a caller has disconnected, and sets headers of its own.
 */
#include "gate.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include "bayhoist/http_head.h"
#include "clock.h"
#include "log.h"
#include "quiet_socket.h"
#include "relay_server.h"

/* Bytes buffered for a slow caller before the gateway stops reading from the endpoint. */
#define OUTPUT_HIGH_WATERMARK (128 * 1024)
/* Bytes of one read of a request's head, and of later requests that are read ahead while a request is in
 * progress. Reading pauses beyond that, so that the disconnect of a caller that has sent more is noticed
 * late.
 */
#define READ_AHEAD_MAX (4 * 1024)
#define IDLE_TIMEOUT_MS 15000   /* as long as no configuration is loaded */
#define HEADER_TIMEOUT_MS 3000  /* the same, for a head */
#define BODY_MAX_MS 30000       /* for a whole request of a caller that does not say how long it waits */
#define LINGER_MS 1000          /* time a caller has to close the connection after the last answer */
#define UNACKED_TIMEOUT_MS 5000 /* longest time that sent bytes may stay unacknowledged */
#define LISTEN_BACKLOG 512
#define NO_MEMORY_RETRY_MS 1000 /* retry delay sent to a caller whose request exceeds the memory budget */

typedef enum {
	READING, /* reading a request or waiting for one */
	BUSY,    /* a request is in progress */
	CLOSING  /* the last answer is being sent */
} InboundState;

struct Inbound {
	Gate *gate;
	struct bufferevent *bev;
	struct event *timer;
	http_parser parser;
	BH__HttpHead check; /* of the head or the trailers; complete while a body is read */
	InboundState state;
	InboundRequest request;
	GString *name;             /* name of the header being read */
	GString *value;            /* value of the header being read */
	bool value_started;        /* the parser has reported a part of the current value */
	GString *url;              /* request target as received */
	GPtrArray *fields;         /* names and values of all headers, alternating */
	size_t head_bytes;         /* bytes of the request line and the headers received so far */
	bool head_complete;        /* all headers of the request have been read */
	bool has_bytes;            /* at least one byte of the request being read has arrived */
	bool is_complete;          /* the request has been read */
	size_t reserved_bytes;     /* bytes that the request holds of the node's memory budget */
	int error_status;          /* HTTP status for a request that can't be served; 0: no error */
	const char *error_message; /* text of the error answer; valid if error_status is not 0 */
	Call *call;                /* call that serves the request; NULL: none */
	bool has_asked;            /* a request was answered on this connection */
	bool keep_alive;           /* the connection stays open after the answer */
	bool chunked;              /* the answer in progress uses chunked transfer coding */
	bool is_closed;            /* closed; the event loop frees the memory later */
	size_t unsent_bytes;       /* of a closing connection, when that was last looked at */
	uint64_t sent_us;          /* when these had last become fewer */
};

static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg);
static void on_read_(struct bufferevent *bev, void *arg);
static void on_written_(struct bufferevent *bev, void *arg);
static void on_event_(struct bufferevent *bev, short what, void *arg);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static int on_message_begin_(http_parser *p);
static int on_url_(http_parser *p, const char *at, size_t len);
static int on_header_name_(http_parser *p, const char *at, size_t len);
static int on_header_value_(http_parser *p, const char *at, size_t len);
static int on_headers_complete_(http_parser *p);
static int on_body_(http_parser *p, const char *at, size_t len);
static int on_chunk_header_(http_parser *p);
static int on_message_complete_(http_parser *p);
static void process_input_(Inbound *in);
static bool parse_input_(Inbound *in);
static void begin_request_(Inbound *in);
static bool check_(Inbound *in, const char *data, size_t *len);
static size_t execute_(Inbound *in, const char *data, size_t len);
static void add_header_(Inbound *in);
static const char *find_header_(const Inbound *in, const char *name, unsigned *count);
static bool is_listed_(const char *list, const char *name);
static void set_error_(Inbound *in, int status, const char *message);
static void answer_error_(Inbound *in);
static bool reserve_memory_(Inbound *in, size_t len);
static void filter_headers_(Inbound *in);
static void start_call_(Inbound *in);
static void clear_request_(Inbound *in);
static void set_timer_(Inbound *in, uint64_t ms);
static void wait_for_request_(Inbound *in);
static void write_head_(Inbound *in, int status, const char *reason, const GString *headers);
static void finish_answer_(Inbound *in);
static void close_when_sent_(Inbound *in);
static bool note_unsent_(Inbound *in);
static uint64_t idle_timeout_ms_(const Inbound *in);
static uint64_t body_timeout_ms_(const Inbound *in);
static bool is_arriving_(const Inbound *in);
static void close_connection_(Inbound *in);
static void on_input_changed_(struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *gate);
static bool is_caught_up_(const Inbound *in);
static void on_free_(evutil_socket_t fd, short what, void *arg);

static const http_parser_settings Callbacks_ = {.on_message_begin = on_message_begin_,
												.on_url = on_url_,
												.on_header_field = on_header_name_,
												.on_header_value = on_header_value_,
												.on_headers_complete = on_headers_complete_,
												.on_body = on_body_,
												.on_chunk_header = on_chunk_header_,
												.on_message_complete = on_message_complete_};

/* Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1). */
static const char *const ConnectionHeaders_[] = {
	"connection",        "keep-alive", "proxy-connection",    "proxy-authenticate", "te",    "trailer",
	"transfer-encoding", "upgrade",    "proxy-authorization", "content-length",     "expect"};

/* Starts to listen on the caller address. Returns false if the address can't be parsed or bound. */
bool inbounds_listen(Gate *g)
{
	struct sockaddr_storage sa;
	int len = sizeof sa;

	if (evutil_parse_sockaddr_port(g->settings.caller_address, (struct sockaddr *)&sa, &len) != 0)
		return false;
	g->listener = evconnlistener_new_bind(g->base, on_accept_, g, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
										  LISTEN_BACKLOG, (struct sockaddr *)&sa, len);
	return g->listener != NULL;
}

/* Lets no new connections begin; those that are being set up are accepted still. */
void inbounds_refuse_new(Gate *g)
{
	if (g->listener)
		quiet_socket_refuse_new(evconnlistener_get_fd(g->listener));
}

/* Stops listening for callers, after inbounds_refuse_new(). Connections that wait to be accepted are: a
 * request that its caller has sent would be cut with the socket. */
void inbounds_stop_listening(Gate *g)
{
	evutil_socket_t listening;
	evutil_socket_t fd;

	if (!g->listener)
		return;
	listening = evconnlistener_get_fd(g->listener);
	while ((fd = quiet_socket_accept(listening)) >= 0)
		on_accept_(g->listener, fd, NULL, 0, g);
	evconnlistener_free(g->listener);
	g->listener = NULL;
}

/* Sets up a new connection. The listener is disabled while the number of connections is at its maximum. */
static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg)
{
	Gate *g = arg;
	Inbound *in;
	int one = 1;
	unsigned unacked_timeout_ms = UNACKED_TIMEOUT_MS;

	(void)l;
	(void)sa;
	(void)len;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms, sizeof unacked_timeout_ms);
	in = g_new0(Inbound, 1);
	in->gate = g;
	in->name = g_string_new(NULL);
	in->value = g_string_new(NULL);
	in->url = g_string_new(NULL);
	in->fields = g_ptr_array_new_with_free_func(g_free);
	in->timer = event_new(g->base, -1, 0, on_timer_, in);
	http_parser_init(&in->parser, HTTP_REQUEST);
	in->parser.data = in;
	in->bev = bufferevent_socket_new(g->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(in->bev, on_read_, on_written_, on_event_, in);
	answer_buffer_count(g, bufferevent_get_output(in->bev));
	evbuffer_add_cb(bufferevent_get_input(in->bev), on_input_changed_, g);
	bufferevent_enable(in->bev, EV_READ | EV_WRITE);
	g_hash_table_add(g->inbounds, in);
	if (g_hash_table_size(g->inbounds) >= g->settings.max_connections)
		evconnlistener_disable(g->listener);
	wait_for_request_(in);
}

/* Tells the memory budget how many answers there may be. */
void inbounds_apply_settings(Gate *g)
{
	uint64_t all = g->settings.max_connections + relay_server_get_max(g);

	g->memory_budget.answers_max = (unsigned)MIN(all, G_MAXUINT);
}

/* Counts what has been read from callers and not been parsed. */
static void on_input_changed_(struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *gate)
{
	Gate *g = gate;

	(void)buffer;
	g->read_ahead_bytes += info->n_added;
	g->read_ahead_bytes -= info->n_deleted;
}

/* Waits for the next request until the idle timeout. */
static void wait_for_request_(Inbound *in)
{
	in->state = READING;
	bufferevent_set_max_single_read(in->bev, READ_AHEAD_MAX);
	bufferevent_setwatermark(in->bev, EV_READ, 0, READ_AHEAD_MAX);
	set_timer_(in, idle_timeout_ms_(in));
}

/* Returns the time after which a connection without traffic is closed. */
static uint64_t idle_timeout_ms_(const Inbound *in)
{
	return in->gate->routing ? bh__routing_get_limits(in->gate->routing)->idle_timeout_ms : IDLE_TIMEOUT_MS;
}

/* Returns for how long the next part of a request's body is waited for: the idle timeout, but not longer than
 * the caller waits for the answer. */
static uint64_t body_timeout_ms_(const Inbound *in)
{
	uint64_t caller_ms = in->request.meta.time_left_us / BH__MS_US;
	uint64_t taken_ms = (clock_now_us() - in->request.arrived_us) / BH__MS_US;

	caller_ms = caller_ms ? caller_ms : BODY_MAX_MS;
	return MIN(idle_timeout_ms_(in), caller_ms - MIN(taken_ms, caller_ms));
}

/* Starts or restarts the timer of the connection, to fire after `ms`. */
static void set_timer_(Inbound *in, uint64_t ms)
{
	struct timeval tv = {(time_t)(ms / 1000), (suseconds_t)(ms % 1000 * 1000)};

	event_add(in->timer, &tv);
}

/* Handles input from the caller. */
static void on_read_(struct bufferevent *bev, void *arg)
{
	(void)bev;
	process_input_(arg);
}

/* Returns true if the next request of a connection may begin: a caller that sends requests without reading
 * their answers would have these gather without a bound. */
static bool is_caught_up_(const Inbound *in)
{
	return evbuffer_get_length(bufferevent_get_output(in->bev)) <
		   answer_buffer_get_max(in->gate, OUTPUT_HIGH_WATERMARK);
}

/* Parses buffered input until a request is complete, then starts its call. A next one that is buffered
 * already waits for its turn in the event loop, so that many of one caller do not hold up all others. Input
 * that arrives on a closing connection is discarded. */
static void process_input_(Inbound *in)
{
	while (!in->is_closed && in->state == READING && is_caught_up_(in) &&
		   evbuffer_get_length(bufferevent_get_input(in->bev)) > 0) {
		if (!parse_input_(in))
			return;
		if (in->is_complete) {
			start_call_(in);
			break;
		}
	}
	if (!in->is_closed && in->state == CLOSING)
		evbuffer_drain(bufferevent_get_input(in->bev), evbuffer_get_length(bufferevent_get_input(in->bev)));
}

/* Passes one contiguous piece of the buffered input to the parser. Returns false if the request was answered
 * with an error. */
static bool parse_input_(Inbound *in)
{
	struct evbuffer *input = bufferevent_get_input(in->bev);
	const BH__RequestLimits *limits = in->gate->routing ? bh__routing_get_limits(in->gate->routing) : NULL;
	size_t len = evbuffer_get_contiguous_space(input);
	const char *data = (const char *)evbuffer_pullup(input, (ev_ssize_t)len);
	bool head_complete = in->head_complete;
	size_t used = 0;

	if (!in->has_bytes)
		begin_request_(in);
	if (check_(in, data, &len))
		used = execute_(in, data, len);
	evbuffer_drain(input, used);
	if (!head_complete)
		in->head_bytes += used;
	if (!in->head_complete && limits && in->head_bytes > limits->max_header_bytes)
		set_error_(in, 431, "the request's headers are larger than the limit");
	if (in->head_complete && !in->is_complete)
		set_timer_(in, body_timeout_ms_(in));
	if (in->error_status && !in->is_complete) { /* the start of the next request can't be found */
		in->state = BUSY;
		answer_error_(in);
		return false;
	}
	return true;
}

/* Prepares for a request of which the first bytes have come. An error in them is not the last request's. */
static void begin_request_(Inbound *in)
{
	const BH__RequestLimits *limits = in->gate->routing ? bh__routing_get_limits(in->gate->routing) : NULL;

	clear_request_(in);
	in->has_bytes = true;
	in->request.arrived_us = clock_now_us();
	bh__http_head_init(&in->check, BH__HTTP_HEAD_REQUEST);
	set_timer_(in, limits ? limits->header_timeout_ms : HEADER_TIMEOUT_MS);
}

/* Checks bytes of a head or of trailers. Sets `*len` to the number of those that the parser may read now.
 * Records an error and returns false if they are bad. */
static bool check_(Inbound *in, const char *data, size_t *len)
{
	if (in->check.state == BH__HTTP_HEAD_COMPLETE)
		return true;
	if (bh__http_head_process(&in->check, data, *len, len) != BH__HTTP_HEAD_BAD)
		return true;
	set_error_(in, 400, in->check.cause);
	return false;
}

/* Has http-parser read bytes. Returns the number of those that it took; records an error if they are
 * malformed. */
static size_t execute_(Inbound *in, const char *data, size_t len)
{
	size_t used = http_parser_execute(&in->parser, &Callbacks_, data, len);
	enum http_errno error = HTTP_PARSER_ERRNO(&in->parser);

	if (error == HPE_PAUSED && !in->is_complete)
		http_parser_pause(&in->parser, 0); /* before the trailers, see on_chunk_header_() */
	if (error != HPE_OK && error != HPE_PAUSED && !in->is_complete)
		set_error_(in, 400, http_errno_description(error));
	return used;
}

/* Records the error that the request is answered with; the first error of a request stays. */
static void set_error_(Inbound *in, int status, const char *message)
{
	if (in->error_status)
		return;
	in->error_status = status;
	in->error_message = message;
}

/* Discards the previous request when the next one begins. */
static int on_message_begin_(http_parser *p)
{
	clear_request_(p->data);
	return 0;
}

/* Resets the request state, except for the arrival time, which is that of the next request already. */
static void clear_request_(Inbound *in)
{
	uint64_t arrived_us = in->request.arrived_us;

	bh__memory_budget_release_request(&in->gate->memory_budget, in->reserved_bytes);
	in->reserved_bytes = 0;
	g_free(in->request.target);
	g_free(in->request.host);
	if (in->request.headers)
		g_string_free(in->request.headers, TRUE);
	if (in->request.body)
		g_byte_array_unref(in->request.body);
	g_free(in->request.meta.request_id_text);
	g_free(in->request.meta.key);
	g_free(in->request.meta.last_event_id);
	memset(&in->request, 0, sizeof in->request);
	in->request.arrived_us = arrived_us;
	g_string_truncate(in->name, 0);
	g_string_truncate(in->value, 0);
	g_string_truncate(in->url, 0);
	g_ptr_array_set_size(in->fields, 0);
	in->value_started = false;
	in->head_bytes = 0;
	in->head_complete = false;
	in->is_complete = false;
	in->error_status = 0;
}

/* Appends a part of the request target, which the parser may report in several parts. */
static int on_url_(http_parser *p, const char *at, size_t len)
{
	g_string_append_len(((Inbound *)p->data)->url, at, (gssize)len);
	return 0;
}

/* Appends a part of a header name. The first part after a value completes the previous header. */
static int on_header_name_(http_parser *p, const char *at, size_t len)
{
	Inbound *in = p->data;

	if (in->value_started)
		add_header_(in);
	g_string_append_len(in->name, at, (gssize)len);
	return 0;
}

/* Appends a part of a header value. */
static int on_header_value_(http_parser *p, const char *at, size_t len)
{
	Inbound *in = p->data;

	in->value_started = true;
	g_string_append_len(in->value, at, (gssize)len);
	return 0;
}

/* Appends the header that was just parsed to the list of headers. */
static void add_header_(Inbound *in)
{
	g_ptr_array_add(in->fields, g_strndup(in->name->str, in->name->len));
	g_ptr_array_add(in->fields, g_strndup(in->value->str, in->value->len));
	g_string_truncate(in->name, 0);
	g_string_truncate(in->value, 0);
	in->value_started = false;
}

/* Validates the headers, reserves memory for a body of known length and answers an Expect header with 100
 * Continue. Returns -1 to stop the parser if the body is too large or does not fit in the memory budget. */
static int on_headers_complete_(http_parser *p)
{
	Inbound *in = p->data;
	unsigned hosts;
	const char *host;
	const BH__RequestLimits *limits = in->gate->routing ? bh__routing_get_limits(in->gate->routing) : NULL;

	if (in->value_started)
		add_header_(in);
	in->head_complete = true;
	host = find_header_(in, "host", &hosts);
	if (hosts != 1)
		set_error_(in, 400, "a request must have exactly one Host header");
	if (in->url->str[0] != '/')
		set_error_(in, 400, "the request's target must be a path");
	if (limits && p->content_length != UINT64_MAX && p->content_length > limits->max_body_bytes)
		set_error_(in, 413, "the body is larger than the limit");
	in->request.method = http_method_str((enum http_method)p->method);
	in->request.target = g_strdup(in->url->str);
	in->request.host = g_strdup(host ? host : "");
	in->request.headers = g_string_new(NULL);
	in->request.body = g_byte_array_new();
	filter_headers_(in);
	if (in->error_status == 413)
		return -1;
	if (!(p->flags & F_CHUNKED) && p->content_length != UINT64_MAX && !reserve_memory_(in, p->content_length))
		return -1;
	if (p->flags & F_CHUNKED || p->content_length != UINT64_MAX) {
		bufferevent_set_max_single_read(in->bev, answer_buffer_get_read_max(in->gate));
		bufferevent_setwatermark(in->bev, EV_READ, 0, ANSWER_BUFFER_READ_MAX);
	}
	if (find_header_(in, "expect", NULL))
		bufferevent_write(in->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return 0;
}

/* Returns the value of the last header called `name`, ignoring case, or NULL. Stores the number of such
 * headers in `count`, unless that is NULL. */
static const char *find_header_(const Inbound *in, const char *name, unsigned *count)
{
	const char *value = NULL;
	unsigned n = 0;

	for (guint i = 0; i + 1 < in->fields->len; i += 2) {
		if (g_ascii_strcasecmp(g_ptr_array_index(in->fields, i), name) != 0)
			continue;
		value = g_ptr_array_index(in->fields, i + 1);
		n++;
	}
	if (count)
		*count = n;
	return value;
}

/* Returns true if `list`, the value of a Connection header or NULL, contains `name`. */
static bool is_listed_(const char *list, const char *name)
{
	char **names = list ? g_strsplit(list, ",", -1) : NULL;
	bool found = false;

	for (char **n = names; n && *n && !found; n++)
		found = !g_ascii_strcasecmp(g_strstrip(*n), name);
	g_strfreev(names);
	return found;
}

/* Collects the headers to forward: drops hop-by-hop headers and those that the platform port consumes. */
static void filter_headers_(Inbound *in)
{
	const char *connection = find_header_(in, "connection", NULL);

	for (guint i = 0; i + 1 < in->fields->len; i += 2) {
		const char *name = g_ptr_array_index(in->fields, i);
		const char *value = g_ptr_array_index(in->fields, i + 1);
		bool drop = connection && is_listed_(connection, name) && g_ascii_strcasecmp(name, "host") != 0;
		for (size_t k = 0; k < G_N_ELEMENTS(ConnectionHeaders_) && !drop; k++)
			drop = !g_ascii_strcasecmp(name, ConnectionHeaders_[k]);
		if (drop || in->gate->port->read_request_header(&in->request.meta, name, value) == HEADER_DROP)
			continue;
		g_string_append_printf(in->request.headers, "%s: %s\r\n", name, value);
	}
}

/* Appends a part of the body. Returns -1 to stop the parser if the body exceeds its limit or the memory
 * budget. */
static int on_body_(http_parser *p, const char *at, size_t len)
{
	Inbound *in = p->data;
	const BH__RequestLimits *limits = in->gate->routing ? bh__routing_get_limits(in->gate->routing) : NULL;

	if (limits && in->request.body->len + len > limits->max_body_bytes) {
		set_error_(in, 413, "the body is larger than the limit");
		return -1;
	}
	if (p->flags & F_CHUNKED && !reserve_memory_(in, len)) /* otherwise reserved with the headers */
		return -1;
	g_byte_array_append(in->request.body, (const guint8 *)at, (guint)len);
	return 0;
}

/* Has the parser pause behind the last chunk, so that the trailers are checked first. */
static int on_chunk_header_(http_parser *p)
{
	if (p->content_length == 0) {
		bh__http_head_init(&((Inbound *)p->data)->check, BH__HTTP_HEAD_TRAILERS);
		http_parser_pause(p, 1);
	}
	return 0;
}

/* Marks the request as complete and pauses the parser until its answer has been written. */
static int on_message_complete_(http_parser *p)
{
	Inbound *in = p->data;

	in->is_complete = true;
	in->keep_alive = http_should_keep_alive(p) && !p->upgrade;
	http_parser_pause(p, 1);
	return 0;
}

/* Answers the request with its recorded error; the connection closes after the answer. */
static void answer_error_(Inbound *in)
{
	bool is_full = in->error_status == 503;

	in->keep_alive = false;
	inbound_send_error(in, in->error_status, is_full ? NO_MEMORY_RETRY_MS : 0,
					   is_full ? "no-memory" : "bad-request", in->error_message);
}

/* Reserves `len` bytes of the memory budget for the request. If the budget is used up, records a 503 error
 * and returns false. */
static bool reserve_memory_(Inbound *in, size_t len)
{
	if (!bh__memory_budget_reserve_request(&in->gate->memory_budget, len)) {
		set_error_(in, 503, "the memory budget for requests is used up on this node");
		return false;
	}
	in->reserved_bytes += len;
	return true;
}

/* Starts the call of a complete request, or answers its error. */
static void start_call_(Inbound *in)
{
	in->state = BUSY;
	in->has_bytes = false;
	bufferevent_setwatermark(in->bev, EV_READ, 0, READ_AHEAD_MAX);
	event_del(in->timer);
	if (in->error_status) {
		answer_error_(in);
		return;
	}
	in->call = call_start(in->gate, in);
}

/* Returns the request that was read last. It is valid until the next one begins; its body until the answer
 * has been written. */
const InboundRequest *inbound_get_request(const Inbound *in)
{
	return &in->request;
}

/* Writes the status line and the headers of an answer, except for those that give its length. Closes the
 * connection after the answer if the node is shutting down. */
static void write_head_(Inbound *in, int status, const char *reason, const GString *headers)
{
	struct evbuffer *out = bufferevent_get_output(in->bev);

	if (in->gate->shutdown.began_us)
		in->keep_alive = false;
	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status, reason);
	if (headers)
		evbuffer_add(out, headers->str, headers->len);
	if (!in->keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
}

/* Sends an error answer that the gateway itself generates. `retry_after_ms` is the retry delay for the
 * caller; 0: no delay is sent. */
void inbound_send_error(Inbound *in, int status, uint64_t retry_after_ms, const char *code,
						const char *message)
{
	struct evbuffer *out = bufferevent_get_output(in->bev);
	char *body = g_strdup_printf("{\"error\":{\"type\":\"%s\",\"message\":\"%s\"}}\n", code, message);

	write_head_(in, status, http_status_str((enum http_status)status), NULL);
	in->gate->port->write_own_headers(out, &in->request.meta, retry_after_ms);
	evbuffer_add_printf(out, "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n", strlen(body));
	if (in->parser.method != HTTP_HEAD)
		evbuffer_add(out, body, strlen(body));
	g_free(body);
	finish_answer_(in);
}

/* Sends the complete answer of an endpoint. The bytes of `body` are moved out of it. */
void inbound_answer_complete(Inbound *in, int status, const char *reason, const GString *headers,
							 struct evbuffer *body)
{
	struct evbuffer *out = bufferevent_get_output(in->bev);

	write_head_(in, status, reason, headers);
	if (status != 204 && status != 304)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", evbuffer_get_length(body));
	evbuffer_add_printf(out, "\r\n");
	evbuffer_add_buffer(out, body);
	finish_answer_(in);
}

/* Begins an answer of unknown length. It is chunked for HTTP/1.1; for an HTTP/1.0 caller, closing the
 * connection marks its end. */
void inbound_answer_begin(Inbound *in, int status, const char *reason, const GString *headers)
{
	struct evbuffer *out = bufferevent_get_output(in->bev);

	in->chunked = in->parser.http_major > 1 || in->parser.http_minor >= 1;
	if (!in->chunked)
		in->keep_alive = false;
	write_head_(in, status, reason, headers);
	if (in->chunked)
		evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
	evbuffer_add_printf(out, "\r\n");
}

/* Sends the next part of an answer. Returns false if the output buffer is above its high watermark, so that
 * the gateway should pause reading from the endpoint. */
bool inbound_answer_append(Inbound *in, const char *data, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(in->bev);

	if (!len)
		return true;
	if (in->chunked)
		evbuffer_add_printf(out, "%zx\r\n", len);
	evbuffer_add(out, data, len);
	if (in->chunked)
		evbuffer_add(out, "\r\n", 2);
	return evbuffer_get_length(out) < answer_buffer_get_max(in->gate, OUTPUT_HIGH_WATERMARK);
}

/* Ends an answer that is complete. */
void inbound_answer_end(Inbound *in)
{
	if (in->chunked)
		bufferevent_write(in->bev, "0\r\n\r\n", 5);
	finish_answer_(in);
}

/* Aborts an answer that can't be completed, in a way that the caller can detect: a chunked answer is closed
 * without its last chunk, any other by a TCP reset. */
void inbound_abort(Inbound *in)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	in->call = NULL;
	if (!in->chunked)
		setsockopt(bufferevent_getfd(in->bev), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
	in->keep_alive = false;
	if (in->chunked)
		close_when_sent_(in);
	else
		close_connection_(in);
}

/* Ends a request after its answer has been written: prepares the connection for the next request, or closes
 * it. A node that stops still serves a request which has arrived behind one whose answer did not say that the
 * connection closes. */
static void finish_answer_(Inbound *in)
{
	bool has_next = evbuffer_get_length(bufferevent_get_input(in->bev)) > 0;

	in->call = NULL;
	in->chunked = false;
	in->has_asked = true;
	if (!in->keep_alive || (in->gate->shutdown.began_us && !has_next)) {
		close_when_sent_(in);
		return;
	}
	http_parser_pause(&in->parser, 0);
	/* the call may still read the request: all but its body is kept until the next request begins */
	in->is_complete = false;
	g_byte_array_unref(in->request.body);
	in->request.body = g_byte_array_new();
	bh__memory_budget_release_request(&in->gate->memory_budget, in->reserved_bytes);
	in->reserved_bytes = 0;
	in->head_complete = false;
	wait_for_request_(in);
	/* input that has arrived meanwhile is read from the event loop: this may be a parser callback */
	if (has_next)
		bufferevent_trigger(in->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

/* Shuts the connection down once the output buffer is empty. The caller has LINGER_MS from then on to close
 * its side. Until then the answer is under way, however slowly it is read. */
static void close_when_sent_(Inbound *in)
{
	in->state = CLOSING;
	in->unsent_bytes = SIZE_MAX;
	set_timer_(in, LINGER_MS);
	if (!note_unsent_(in))
		on_written_(in->bev, in);
}

/* Notes how much of its answer a closing connection has left. Returns true if its caller may still read that:
 * it has read some within the idle timeout, or the node stops, which ends the wait. */
static bool note_unsent_(Inbound *in)
{
	size_t unsent = evbuffer_get_length(bufferevent_get_output(in->bev));
	uint64_t now_us = clock_now_us();

	if (unsent < in->unsent_bytes)
		in->sent_us = now_us;
	in->unsent_bytes = unsent;
	return unsent > 0 &&
		   (in->gate->shutdown.began_us || now_us < in->sent_us + idle_timeout_ms_(in) * BH__MS_US);
}

/* Returns the number of connections with bytes that have not left this node. */
unsigned inbounds_count_unsent(const Gate *g)
{
	GHashTableIter it;
	gpointer in;
	unsigned count = 0;

	g_hash_table_iter_init(&it, g->inbounds);
	while (g_hash_table_iter_next(&it, &in, NULL))
		count += evbuffer_get_length(bufferevent_get_output(((Inbound *)in)->bev)) > 0;
	return count;
}

/* Returns the number of connections with a request that has begun to arrive and is not complete. */
unsigned inbounds_count_incomplete(const Gate *g)
{
	GHashTableIter it;
	gpointer in;
	unsigned count = 0;

	g_hash_table_iter_init(&it, g->inbounds);
	while (g_hash_table_iter_next(&it, &in, NULL))
		count += is_arriving_(in);
	return count;
}

/* Refuses the requests that have begun to arrive and are not complete, shortly before the node exits. None of
 * them has run. */
void inbounds_refuse_incomplete(Gate *g, uint64_t retry_after_ms)
{
	GList *all = g_hash_table_get_keys(g->inbounds);

	for (GList *it = all; it; it = it->next) {
		Inbound *in = it->data;
		if (!is_arriving_(in))
			continue;
		log_event("refuse", "what=incomplete head=%s body_bytes=%u", in->head_complete ? "yes" : "no",
				  in->head_complete ? in->request.body->len : 0);
		in->keep_alive = false;
		in->state = BUSY;
		inbound_send_error(in, 503, retry_after_ms, "node-leaving", "this node stops");
	}
	g_list_free(all);
}

/* Returns true if a part of a request has arrived, and not all of it. */
static bool is_arriving_(const Inbound *in)
{
	return in->state == READING && in->has_bytes;
}

/* Returns the number of connections whose first request has not been read. */
unsigned inbounds_count_unasked(const Gate *g)
{
	GHashTableIter it;
	gpointer in;
	unsigned count = 0;

	g_hash_table_iter_init(&it, g->inbounds);
	while (g_hash_table_iter_next(&it, &in, NULL))
		count += ((Inbound *)in)->state == READING && !((Inbound *)in)->has_asked;
	return count;
}

/* Handles an empty output buffer: shuts down a closing connection, lets the call send more, or begins the
 * next request. */
static void on_written_(struct bufferevent *bev, void *arg)
{
	Inbound *in = arg;

	(void)bev;
	if (in->state == CLOSING) {
		shutdown(bufferevent_getfd(in->bev), SHUT_WR);
		set_timer_(in, LINGER_MS);
	}
	else if (in->call)
		call_on_drained(in->call);
	else if (in->state == READING)
		process_input_(in);
}

/* Handles a disconnect or an error of the connection; its call is notified. */
static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	Inbound *in = arg;
	Call *call = in->call;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)))
		return;
	in->call = NULL;
	if (call)
		call_on_caller_gone(call);
	close_connection_(in);
}

/* Handles a timeout: answers 408 if the headers or the body of a request are late, and closes a connection
 * that was idle for too long or that the caller has not closed after the last answer. */
static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	Inbound *in = arg;

	(void)fd;
	(void)what;
	if (is_arriving_(in)) {
		in->keep_alive = false;
		in->state = BUSY;
		inbound_send_error(in, 408, 0, "request-timeout", "the request was not received in time");
	}
	else if (in->state == CLOSING && note_unsent_(in)) {
		set_timer_(in, LINGER_MS);
	}
	else if (in->state != BUSY) {
		close_connection_(in);
	}
}

/* Closes a connection; the event loop frees its memory later. Accepts connections again if their number is
 * below the maximum. */
static void close_connection_(Inbound *in)
{
	struct timeval at_once = {0, 0};

	if (in->is_closed)
		return;
	in->is_closed = true;
	bufferevent_setcb(in->bev, NULL, NULL, NULL, NULL);
	bufferevent_disable(in->bev, EV_READ | EV_WRITE);
	event_del(in->timer);
	g_hash_table_remove(in->gate->inbounds, in);
	if (in->gate->listener && g_hash_table_size(in->gate->inbounds) < in->gate->settings.max_connections)
		evconnlistener_enable(in->gate->listener);
	event_base_once(in->gate->base, -1, EV_TIMEOUT, on_free_, in, &at_once);
}

/* Frees a closed connection and closes its socket. */
static void on_free_(evutil_socket_t fd, short what, void *arg)
{
	Inbound *in = arg;

	(void)fd;
	(void)what;
	clear_request_(in);
	answer_buffer_stop_counting(in->gate, bufferevent_get_output(in->bev));
	evbuffer_remove_cb(bufferevent_get_input(in->bev), on_input_changed_, in->gate);
	in->gate->read_ahead_bytes -= evbuffer_get_length(bufferevent_get_input(in->bev));
	bufferevent_free(in->bev);
	event_free(in->timer);
	g_string_free(in->name, TRUE);
	g_string_free(in->value, TRUE);
	g_string_free(in->url, TRUE);
	g_ptr_array_unref(in->fields);
	g_free(in);
}

/* Closes and frees all connections when the process exits. */
void inbounds_free(Gate *g)
{
	GList *all = g_hash_table_get_keys(g->inbounds);

	for (GList *it = all; it; it = it->next) {
		Inbound *in = it->data;
		in->is_closed = true;
		on_free_(-1, 0, in);
	}
	g_list_free(all);
	g_hash_table_remove_all(g->inbounds);
}
