/* SPDX-License-Identifier: BSD-3-Clause */
/* Connections that callers open: requests are read whole, one at a time, and handed to call.c; answers go
 * back as they come. http-parser reads the requests and refuses those whose length can be read in two ways.
 * evhttp is not used here: it answers faulty requests by itself, tells nothing of a caller that goes away,
 * and sets headers of its own. */
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
#include "clock.h"
#include "log.h"

/* Bytes that wait for a slow caller before its endpoint is no longer read. */
#define OUTPUT_HIGH (128 * 1024)
#define INPUT_HIGH (64 * 1024) /* of the next requests, read ahead while one is under way */
#define LINGER_MS 1000         /* for a caller to close after the last answer */
#define SILENT_MS 5000         /* that sent bytes may go without an acknowledgement */
#define BACKLOG 512
#define RETRY_FULL_MS 1000 /* for a caller whose request there is no room for */

typedef enum {
	READING, /* a request, or waiting for one */
	BUSY,    /* a request is under way */
	CLOSING  /* the last answer is being sent */
} InboundState;

struct Inbound {
	Gate *gate;
	struct bufferevent *bev;
	struct event *timer;
	http_parser parser;
	InboundState state;
	InboundRequest request;
	GString *name; /* of the header being read */
	GString *value;
	bool value_begun;
	GString *url;
	GPtrArray *fields; /* names and values in turn */
	size_t head_bytes;
	bool head_done;
	bool has_bytes; /* of the request being read */
	bool whole;     /* the request has been read */
	size_t kept;    /* bytes of the request that count against the node's room */
	int fault;      /* status of a request that can't be served; 0: none */
	const char *fault_message;
	Call *call;
	bool keep_alive;
	bool chunked;
	bool dead;
};

static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg);
static void on_read_(struct bufferevent *bev, void *arg);
static void on_written_(struct bufferevent *bev, void *arg);
static void on_event_(struct bufferevent *bev, short what, void *arg);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static int on_begin_(http_parser *p);
static int on_url_(http_parser *p, const char *at, size_t len);
static int on_name_(http_parser *p, const char *at, size_t len);
static int on_value_(http_parser *p, const char *at, size_t len);
static int on_head_done_(http_parser *p);
static int on_body_(http_parser *p, const char *at, size_t len);
static int on_whole_(http_parser *p);
static void read_more_(Inbound *in);
static bool execute_(Inbound *in);
static void store_field_(Inbound *in);
static const char *find_field_(const Inbound *in, const char *name, unsigned *count);
static bool is_named_(const char *list, const char *name);
static void set_fault_(Inbound *in, int status, const char *message);
static void answer_fault_(Inbound *in);
static bool keep_(Inbound *in, size_t len);
static void sort_fields_(Inbound *in);
static void begin_call_(Inbound *in);
static void clear_request_(Inbound *in);
static void set_timer_(Inbound *in, uint64_t ms);
static void rest_(Inbound *in);
static void write_head_(Inbound *in, int status, const char *reason, const GString *headers);
static void finish_answer_(Inbound *in);
static void close_when_sent_(Inbound *in);
static void retire_(Inbound *in);
static void free_later_(evutil_socket_t fd, short what, void *arg);

static const http_parser_settings Callbacks_ = {.on_message_begin = on_begin_,
												.on_url = on_url_,
												.on_header_field = on_name_,
												.on_header_value = on_value_,
												.on_headers_complete = on_head_done_,
												.on_body = on_body_,
												.on_message_complete = on_whole_};

/* Headers that concern one connection only (RFC 9110, section 7.6.1). */
static const char *const ConnectionFields_[] = {
	"connection",        "keep-alive", "proxy-connection",    "proxy-authenticate", "te",    "trailer",
	"transfer-encoding", "upgrade",    "proxy-authorization", "content-length",     "expect"};

/* Listens for callers. Returns false if the address can't be used. */
bool inbounds_listen(Gate *g)
{
	struct sockaddr_storage sa;
	int len = sizeof sa;

	if (evutil_parse_sockaddr_port(g->settings.caller_address, (struct sockaddr *)&sa, &len) != 0)
		return false;
	g->listener = evconnlistener_new_bind(g->base, on_accept_, g, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
										  BACKLOG, (struct sockaddr *)&sa, len);
	return g->listener != NULL;
}

static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg)
{
	Gate *g = arg;
	Inbound *in;
	int one = 1;
	unsigned silent_ms = SILENT_MS;

	(void)l;
	(void)sa;
	(void)len;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
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
	bufferevent_setwatermark(in->bev, EV_READ, 0, INPUT_HIGH);
	bufferevent_enable(in->bev, EV_READ | EV_WRITE);
	g_hash_table_add(g->inbounds, in);
	if (g_hash_table_size(g->inbounds) >= g->settings.max_connections)
		evconnlistener_disable(g->listener);
	rest_(in);
}

/* Waits for the next request, for as long as a connection may idle. */
static void rest_(Inbound *in)
{
	uint64_t idle_ms = in->gate->routing ? bh__routing_get_limits(in->gate->routing)->idle_timeout_ms : 15000;

	in->state = READING;
	set_timer_(in, idle_ms);
}

static void set_timer_(Inbound *in, uint64_t ms)
{
	struct timeval tv = {(time_t)(ms / 1000), (suseconds_t)(ms % 1000 * 1000)};

	event_add(in->timer, &tv);
}

static void on_read_(struct bufferevent *bev, void *arg)
{
	(void)bev;
	read_more_(arg);
}

/* Reads requests until one is whole, then waits for its answer. */
static void read_more_(Inbound *in)
{
	while (!in->dead && in->state == READING && evbuffer_get_length(bufferevent_get_input(in->bev)) > 0) {
		if (!execute_(in))
			return;
		if (in->whole)
			begin_call_(in);
	}
	if (!in->dead && in->state == CLOSING)
		evbuffer_drain(bufferevent_get_input(in->bev), evbuffer_get_length(bufferevent_get_input(in->bev)));
}

/* Feeds the parser with what has come. Returns false if the request was answered as faulty. */
static bool execute_(Inbound *in)
{
	struct evbuffer *input = bufferevent_get_input(in->bev);
	const BH__RequestLimits *limits = in->gate->routing ? bh__routing_get_limits(in->gate->routing) : NULL;
	size_t len = evbuffer_get_contiguous_space(input);
	const char *data = (const char *)evbuffer_pullup(input, (ev_ssize_t)len);
	bool head_done = in->head_done;
	size_t used;

	if (!in->has_bytes) {
		in->has_bytes = true;
		in->request.arrived_us = clock_now_us();
		set_timer_(in, limits ? limits->header_timeout_ms : 3000);
	}
	used = http_parser_execute(&in->parser, &Callbacks_, data, len);
	evbuffer_drain(input, used);
	if (!head_done)
		in->head_bytes += used;
	if (!in->head_done && limits && in->head_bytes > limits->max_header_bytes)
		set_fault_(in, 431, "the request's headers are larger than the limit");
	if (!in->whole && HTTP_PARSER_ERRNO(&in->parser) != HPE_OK &&
		HTTP_PARSER_ERRNO(&in->parser) != HPE_PAUSED)
		set_fault_(in, 400, http_errno_description(HTTP_PARSER_ERRNO(&in->parser)));
	if (in->fault && !in->whole) { /* what follows can't be told apart from the rest of it */
		in->state = BUSY;
		answer_fault_(in);
		return false;
	}
	return true;
}

static void set_fault_(Inbound *in, int status, const char *message)
{
	if (in->fault)
		return;
	in->fault = status;
	in->fault_message = message;
}

static int on_begin_(http_parser *p)
{
	clear_request_(p->data);
	return 0;
}

/* Forgets the last request, but for the time at which the next began. */
static void clear_request_(Inbound *in)
{
	uint64_t arrived_us = in->request.arrived_us;

	bh__memory_budget_release_request(&in->gate->memory_budget, in->kept);
	in->kept = 0;
	g_free(in->request.target);
	g_free(in->request.host);
	if (in->request.headers)
		g_string_free(in->request.headers, TRUE);
	if (in->request.body)
		g_byte_array_unref(in->request.body);
	memset(&in->request, 0, sizeof in->request);
	in->request.arrived_us = arrived_us;
	g_string_truncate(in->name, 0);
	g_string_truncate(in->value, 0);
	g_string_truncate(in->url, 0);
	g_ptr_array_set_size(in->fields, 0);
	in->value_begun = false;
	in->head_bytes = 0;
	in->head_done = false;
	in->whole = false;
	in->fault = 0;
}

static int on_url_(http_parser *p, const char *at, size_t len)
{
	g_string_append_len(((Inbound *)p->data)->url, at, (gssize)len);
	return 0;
}

static int on_name_(http_parser *p, const char *at, size_t len)
{
	Inbound *in = p->data;

	if (in->value_begun)
		store_field_(in);
	g_string_append_len(in->name, at, (gssize)len);
	return 0;
}

static int on_value_(http_parser *p, const char *at, size_t len)
{
	Inbound *in = p->data;

	in->value_begun = true;
	g_string_append_len(in->value, at, (gssize)len);
	return 0;
}

static void store_field_(Inbound *in)
{
	g_ptr_array_add(in->fields, g_strndup(in->name->str, in->name->len));
	g_ptr_array_add(in->fields, g_strndup(in->value->str, in->value->len));
	g_string_truncate(in->name, 0);
	g_string_truncate(in->value, 0);
	in->value_begun = false;
}

static int on_head_done_(http_parser *p)
{
	Inbound *in = p->data;
	unsigned hosts;
	const char *host;
	const BH__RequestLimits *limits = in->gate->routing ? bh__routing_get_limits(in->gate->routing) : NULL;

	if (in->value_begun)
		store_field_(in);
	in->head_done = true;
	host = find_field_(in, "host", &hosts);
	if (hosts != 1)
		set_fault_(in, 400, "a request needs one Host header");
	if (in->url->str[0] != '/')
		set_fault_(in, 400, "the request's target must be a path");
	if (limits && p->content_length != UINT64_MAX && p->content_length > limits->max_body_bytes)
		set_fault_(in, 413, "the body is larger than the limit");
	in->request.method = http_method_str((enum http_method)p->method);
	in->request.target = g_strdup(in->url->str);
	in->request.host = g_strdup(host ? host : "");
	in->request.headers = g_string_new(NULL);
	in->request.body = g_byte_array_new();
	sort_fields_(in);
	if (in->fault == 413)
		return -1;
	if (!(p->flags & F_CHUNKED) && p->content_length != UINT64_MAX && !keep_(in, p->content_length))
		return -1;
	if (find_field_(in, "expect", NULL))
		bufferevent_write(in->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return 0;
}

/* Returns the value of a header, and how often it is there; `name` in lower case. */
static const char *find_field_(const Inbound *in, const char *name, unsigned *count)
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

/* Returns true if a Connection header names a header. */
static bool is_named_(const char *list, const char *name)
{
	char **names = list ? g_strsplit(list, ",", -1) : NULL;
	bool found = false;

	for (char **n = names; n && *n && !found; n++)
		found = !g_ascii_strcasecmp(g_strstrip(*n), name);
	g_strfreev(names);
	return found;
}

/* Tells the headers that go on from those that concern this connection and those that the port takes. */
static void sort_fields_(Inbound *in)
{
	const char *connection = find_field_(in, "connection", NULL);

	for (guint i = 0; i + 1 < in->fields->len; i += 2) {
		const char *name = g_ptr_array_index(in->fields, i);
		const char *value = g_ptr_array_index(in->fields, i + 1);
		bool drop = connection && is_named_(connection, name) && g_ascii_strcasecmp(name, "host") != 0;
		for (size_t k = 0; k < G_N_ELEMENTS(ConnectionFields_) && !drop; k++)
			drop = !g_ascii_strcasecmp(name, ConnectionFields_[k]);
		if (drop || in->gate->port->read_request_header(&in->request.meta, name, value) == HEADER_DROP)
			continue;
		g_string_append_printf(in->request.headers, "%s: %s\r\n", name, value);
	}
}

static int on_body_(http_parser *p, const char *at, size_t len)
{
	Inbound *in = p->data;
	const BH__RequestLimits *limits = in->gate->routing ? bh__routing_get_limits(in->gate->routing) : NULL;

	if (limits && in->request.body->len + len > limits->max_body_bytes) {
		set_fault_(in, 413, "the body is larger than the limit");
		return -1;
	}
	if (p->flags & F_CHUNKED && !keep_(in, len)) /* else there has been room for all of it from its head on */
		return -1;
	g_byte_array_append(in->request.body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_whole_(http_parser *p)
{
	Inbound *in = p->data;

	in->whole = true;
	in->keep_alive = http_should_keep_alive(p) && !p->upgrade;
	http_parser_pause(p, 1);
	return 0;
}

static void answer_fault_(Inbound *in)
{
	bool is_full = in->fault == 503;

	in->keep_alive = false;
	inbound_answer_own(in, in->fault, is_full ? RETRY_FULL_MS : 0, is_full ? "no-memory" : "bad-request",
					   in->fault_message);
}

/* Keeps so much more of a request. Returns false if the node has no room for it: it is refused. */
static bool keep_(Inbound *in, size_t len)
{
	if (!bh__memory_budget_reserve_request(&in->gate->memory_budget, len)) {
		set_fault_(in, 503, "this node keeps as many requests as its memory holds");
		return false;
	}
	in->kept += len;
	return true;
}

static void begin_call_(Inbound *in)
{
	in->state = BUSY;
	in->has_bytes = false;
	event_del(in->timer);
	if (in->fault) {
		answer_fault_(in);
		return;
	}
	in->call = call_start(in->gate, in);
}

const InboundRequest *inbound_get_request(const Inbound *in)
{
	return &in->request;
}

/* Writes status and headers of an answer, up to those of its length. */
static void write_head_(Inbound *in, int status, const char *reason, const GString *headers)
{
	struct evbuffer *out = bufferevent_get_output(in->bev);

	if (in->gate->leaving_since_us)
		in->keep_alive = false;
	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status, reason);
	if (headers)
		evbuffer_add(out, headers->str, headers->len);
	if (!in->keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
}

/* Answers in our own name. `retry_after_ms` 0: the caller need not come back. */
void inbound_answer_own(Inbound *in, int status, uint64_t retry_after_ms, const char *code,
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

/* Answers with an endpoint's whole answer; takes the bytes of `body`. */
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

/* Begins an answer whose length is not known. To an HTTP/1.0 caller its end is that of the connection. */
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

/* Returns how many bytes of answers wait for their callers. */
uint64_t inbounds_get_answer_bytes(const Gate *g)
{
	uint64_t bytes = 0;
	GHashTableIter it;
	gpointer in;

	g_hash_table_iter_init(&it, g->inbounds);
	while (g_hash_table_iter_next(&it, &in, NULL))
		bytes += evbuffer_get_length(bufferevent_get_output(((Inbound *)in)->bev));
	return bytes;
}

/* Returns how many bytes of one answer the node keeps, `max` at most. */
size_t inbound_get_answer_max(const Gate *g, size_t max)
{
	return bh__memory_budget_get_answer_max(&g->memory_budget, g_hash_table_size(g->inbounds), max);
}

/* Sends more of an answer. Returns false if the caller reads so slowly that the endpoint should wait. */
bool inbound_answer_more(Inbound *in, const char *data, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(in->bev);

	if (!len)
		return true;
	if (in->chunked)
		evbuffer_add_printf(out, "%zx\r\n", len);
	evbuffer_add(out, data, len);
	if (in->chunked)
		evbuffer_add(out, "\r\n", 2);
	return evbuffer_get_length(out) < inbound_get_answer_max(in->gate, OUTPUT_HIGH);
}

/* Ends an answer that is whole. */
void inbound_answer_end(Inbound *in)
{
	if (in->chunked)
		bufferevent_write(in->bev, "0\r\n\r\n", 5);
	finish_answer_(in);
}

/* Ends an answer that can't be completed, so that it doesn't look complete. */
void inbound_break_off(Inbound *in)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	in->call = NULL;
	if (!in->chunked)
		setsockopt(bufferevent_getfd(in->bev), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
	in->keep_alive = false;
	if (in->chunked)
		close_when_sent_(in);
	else
		retire_(in);
}

/* The answer is written: the connection takes the next request, or is closed. */
static void finish_answer_(Inbound *in)
{
	in->call = NULL;
	in->chunked = false;
	if (!in->keep_alive || in->gate->leaving_since_us) {
		close_when_sent_(in);
		return;
	}
	http_parser_pause(&in->parser, 0);
	in->whole =
		false; /* but for its body the request is kept until the next begins: its call may look at it */
	g_byte_array_unref(in->request.body);
	in->request.body = g_byte_array_new();
	bh__memory_budget_release_request(&in->gate->memory_budget, in->kept);
	in->kept = 0;
	in->head_done = false;
	rest_(in);
	/* what came meanwhile is read from the loop, not from here: we may be in a callback of it */
	if (evbuffer_get_length(bufferevent_get_input(in->bev)) > 0)
		bufferevent_trigger(in->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

static void close_when_sent_(Inbound *in)
{
	in->state = CLOSING;
	set_timer_(in, LINGER_MS);
	if (evbuffer_get_length(bufferevent_get_output(in->bev)) == 0)
		on_written_(in->bev, in);
}

static void on_written_(struct bufferevent *bev, void *arg)
{
	Inbound *in = arg;

	(void)bev;
	if (in->state == CLOSING)
		shutdown(bufferevent_getfd(in->bev), SHUT_WR);
	else if (in->call)
		call_on_drained(in->call);
}

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
	retire_(in);
}

/* A connection has idled for too long, a request's headers take too long, or a caller didn't close. */
static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	Inbound *in = arg;

	(void)fd;
	(void)what;
	if (in->state == READING && in->has_bytes && !in->head_done) {
		in->keep_alive = false;
		in->state = BUSY;
		inbound_answer_own(in, 408, 0, "request-timeout", "the request's headers took too long");
	}
	else if (in->state != BUSY) {
		retire_(in);
	}
}

/* Closes a connection; its memory is freed from the loop. */
static void retire_(Inbound *in)
{
	struct timeval at_once = {0, 0};

	if (in->dead)
		return;
	in->dead = true;
	bufferevent_setcb(in->bev, NULL, NULL, NULL, NULL);
	bufferevent_disable(in->bev, EV_READ | EV_WRITE);
	event_del(in->timer);
	g_hash_table_remove(in->gate->inbounds, in);
	if (in->gate->listener && g_hash_table_size(in->gate->inbounds) < in->gate->settings.max_connections)
		evconnlistener_enable(in->gate->listener);
	event_base_once(in->gate->base, -1, EV_TIMEOUT, free_later_, in, &at_once);
}

static void free_later_(evutil_socket_t fd, short what, void *arg)
{
	Inbound *in = arg;

	(void)fd;
	(void)what;
	clear_request_(in);
	bufferevent_free(in->bev);
	event_free(in->timer);
	g_string_free(in->name, TRUE);
	g_string_free(in->value, TRUE);
	g_string_free(in->url, TRUE);
	g_ptr_array_unref(in->fields);
	g_free(in);
}

/* Closes all connections; for the end of the process. */
void inbounds_free(Gate *g)
{
	GList *all = g_hash_table_get_keys(g->inbounds);

	for (GList *it = all; it; it = it->next) {
		Inbound *in = it->data;
		in->dead = true;
		free_later_(-1, 0, in);
	}
	g_list_free(all);
	g_hash_table_remove_all(g->inbounds);
}
