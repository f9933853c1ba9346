/* SPDX-License-Identifier: BSD-3-Clause */
/* HTTP/1 requests to endpoints, each on a connection of its own. A new connection costs a round trip but
 * avoids the faults of reused ones: surplus answers, answers to a different request, and endpoints that take
 * the rest of an earlier body for the next request. */
#include "gate.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include "clock.h"
#include "log.h"

/* Connecting takes a few ms within a region, and about 200 ms more if a packet is lost. */
#define CONNECT_TIMEOUT_MS 400
#define UNACKED_TIMEOUT_MS 3000 /* longest time that sent bytes may stay unacknowledged */
#define HEAD_MAX (32 * 1024)    /* bytes of an answer before its body, interim answers included */

struct Outbound {
	Gate *gate;
	struct bufferevent *bev;
	http_parser parser;
	OutboundCallbacks cb;
	void *ctx;          /* first argument of the callbacks */
	OutboundHead head;  /* head of the answer being read */
	GString *name;      /* name of the header being read */
	GString *value;     /* value of the header being read */
	bool value_started; /* the parser has reported a part of the header's value */
	size_t head_bytes;  /* bytes read before the answer's body */
	bool head_complete; /* the head of the final answer has been read */
	bool is_interim;    /* the head being read has a 1xx status */
	bool connected;
	bool is_complete; /* the answer has been read to its end */
	bool is_closed;   /* closed; the event loop frees the memory later */
	bool no_body;     /* the request is a HEAD request, so the answer has no body */
};

static evutil_socket_t bound_socket_(const Gate *g);
static void on_read_(struct bufferevent *bev, void *arg);
static void on_event_(struct bufferevent *bev, short what, void *arg);
static int on_message_begin_(http_parser *p);
static int on_status_(http_parser *p, const char *at, size_t len);
static int on_header_name_(http_parser *p, const char *at, size_t len);
static int on_header_value_(http_parser *p, const char *at, size_t len);
static int on_headers_complete_(http_parser *p);
static int on_body_(http_parser *p, const char *at, size_t len);
static int on_message_complete_(http_parser *p);
static void process_header_(Outbound *o);
static void clear_head_(Outbound *o);
static void finish_(Outbound *o, OutboundEnd end);
static void close_connection_(Outbound *o);
static void on_free_(evutil_socket_t fd, short what, void *arg);

static const http_parser_settings Callbacks_ = {.on_message_begin = on_message_begin_,
												.on_status = on_status_,
												.on_header_field = on_header_name_,
												.on_header_value = on_header_value_,
												.on_headers_complete = on_headers_complete_,
												.on_body = on_body_,
												.on_message_complete = on_message_complete_};

/* Hop-by-hop headers, which are not forwarded. */
static const char *const ConnectionHeaders_[] = {"connection",    "keep-alive", "proxy-connection",
												 "trailer",       "upgrade",    "transfer-encoding",
												 "content-length"};

/* Connects to `address` and sends `request`, whose bytes are moved out of it. The on_end callback always runs
 * from the event loop, never from within this function. */
Outbound *outbound_start(Gate *g, const char *address, struct evbuffer *request, const OutboundCallbacks *cb,
						 void *ctx)
{
	Outbound *o = g_new0(Outbound, 1);
	struct sockaddr_storage sa;
	int len = sizeof sa;
	struct timeval timeout = {0, CONNECT_TIMEOUT_MS * 1000};
	int one = 1;
	unsigned unacked_timeout_ms = UNACKED_TIMEOUT_MS;
	char method[8] = "";

	o->gate = g;
	o->cb = *cb;
	o->ctx = ctx;
	o->name = g_string_new(NULL);
	o->value = g_string_new(NULL);
	evbuffer_copyout(request, method, 5);
	o->no_body = !strcmp(method, "HEAD ");
	http_parser_init(&o->parser, HTTP_RESPONSE);
	o->parser.data = o;
	o->bev =
		bufferevent_socket_new(g->base, bound_socket_(g), BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(o->bev, on_read_, NULL, on_event_, o);
	bufferevent_set_timeouts(o->bev, NULL, &timeout);
	bufferevent_enable(o->bev, EV_READ | EV_WRITE);
	bufferevent_write_buffer(o->bev, request);
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len) != 0)
		memset(&sa, 0, sizeof sa); /* the connection attempt fails, which the event loop reports */
	bufferevent_socket_connect(o->bev, (struct sockaddr *)&sa, len);
	setsockopt(bufferevent_getfd(o->bev), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt(bufferevent_getfd(o->bev), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
			   sizeof unacked_timeout_ms);
	return o;
}

/* Returns a new socket that is bound to the address from which the settings have endpoints connected to, or
 * -1 if they name none or the address can't be used, which is logged. */
static evutil_socket_t bound_socket_(const Gate *g)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	evutil_socket_t fd;

	if (!g->settings.endpoint_source[0])
		return -1;
	evutil_inet_pton(AF_INET, g->settings.endpoint_source, &sa.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&sa, sizeof sa) == 0) {
		evutil_make_socket_nonblocking(fd);
		evutil_make_socket_closeonexec(fd);
		return fd;
	}
	log_error("bind-failed", "address=%s cause=\"%s\"", g->settings.endpoint_source, strerror(errno));
	if (fd >= 0)
		evutil_closesocket(fd);
	return -1;
}

/* Returns true once the connection to the endpoint is established. */
bool outbound_is_connected(const Outbound *o)
{
	return o->connected;
}

/* Pauses or resumes reading the answer. */
void outbound_pause(Outbound *o, bool paused)
{
	if (paused)
		bufferevent_disable(o->bev, EV_READ);
	else
		bufferevent_enable(o->bev, EV_READ);
}

/* Parses buffered input. Ends the request when the answer is complete, malformed, or its head exceeds
 * HEAD_MAX. */
static void on_read_(struct bufferevent *bev, void *arg)
{
	Outbound *o = arg;
	struct evbuffer *input = bufferevent_get_input(bev);

	while (!o->is_closed && evbuffer_get_length(input) > 0) {
		size_t len = evbuffer_get_contiguous_space(input);
		const char *data = (const char *)evbuffer_pullup(input, (ev_ssize_t)len);
		size_t used = http_parser_execute(&o->parser, &Callbacks_, data, len);
		bool failed = HTTP_PARSER_ERRNO(&o->parser) != HPE_OK && HTTP_PARSER_ERRNO(&o->parser) != HPE_PAUSED;
		if (o->is_closed)
			return;
		evbuffer_drain(input, used);
		o->head_bytes += o->head_complete ? 0 : used;
		if (o->is_complete) {
			finish_(o, OUTBOUND_DONE);
		}
		else if (failed || o->head_bytes > HEAD_MAX) {
			o->gate->counters.bad_answers++;
			finish_(o, OUTBOUND_BROKEN);
		}
	}
}

/* Handles the established connection, a failed connection attempt, and a connection that the endpoint closes
 * or that fails. */
static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	Outbound *o = arg;

	if (what & BEV_EVENT_CONNECTED) {
		o->connected = true;
		bufferevent_set_timeouts(bev, NULL, NULL);
		return;
	}
	if (!o->connected) {
		finish_(o, OUTBOUND_UNREACHABLE);
		return;
	}
	if (what & BEV_EVENT_EOF && evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		on_read_(bev, o);
	if (o->is_closed)
		return;
	if (what & BEV_EVENT_EOF) /* end of file completes an answer without a length */
		http_parser_execute(&o->parser, &Callbacks_, NULL, 0);
	if (!o->is_closed)
		finish_(o, o->is_complete ? OUTBOUND_DONE : OUTBOUND_BROKEN);
}

/* Prepares for the head of the next interim or final answer. */
static int on_message_begin_(http_parser *p)
{
	clear_head_(p->data);
	return 0;
}

/* Resets the state of the head being read. */
static void clear_head_(Outbound *o)
{
	if (o->head.headers)
		g_string_free(o->head.headers, TRUE);
	memset(&o->head, 0, sizeof o->head);
	o->head.headers = g_string_new(NULL);
	g_string_truncate(o->name, 0);
	g_string_truncate(o->value, 0);
	o->value_started = false;
	o->head_complete = false;
}

/* Appends a part of the reason phrase; what does not fit is dropped. */
static int on_status_(http_parser *p, const char *at, size_t len)
{
	Outbound *o = p->data;
	size_t used = strlen(o->head.reason);

	if (used + len < sizeof o->head.reason)
		memcpy(o->head.reason + used, at, len);
	return 0;
}

/* Appends a part of a header name. The first part after a value completes the previous header. */
static int on_header_name_(http_parser *p, const char *at, size_t len)
{
	Outbound *o = p->data;

	if (o->value_started)
		process_header_(o);
	g_string_append_len(o->name, at, (gssize)len);
	return 0;
}

/* Appends a part of a header value. */
static int on_header_value_(http_parser *p, const char *at, size_t len)
{
	Outbound *o = p->data;

	o->value_started = true;
	g_string_append_len(o->value, at, (gssize)len);
	return 0;
}

/* Passes the header that was just parsed to the platform port, and appends it to the headers to forward
 * unless it is hop-by-hop or the port drops it. */
static void process_header_(Outbound *o)
{
	HeaderAction use;
	bool drop = false;

	for (size_t k = 0; k < G_N_ELEMENTS(ConnectionHeaders_) && !drop; k++)
		drop = !g_ascii_strcasecmp(o->name->str, ConnectionHeaders_[k]);
	if (!g_ascii_strcasecmp(o->name->str, "content-type") &&
		!g_ascii_strncasecmp(o->value->str, "text/event-stream", 17))
		o->head.is_event_stream = true;
	use = drop ? HEADER_DROP : o->gate->port->read_answer_header(&o->head.meta, o->name->str, o->value->str);
	if (use == HEADER_UNKNOWN)
		signals_note_unknown(o->gate, o->name->str);
	if (use != HEADER_DROP)
		g_string_append_printf(o->head.headers, "%s: %s\r\n", o->name->str, o->value->str);
	g_string_truncate(o->name, 0);
	g_string_truncate(o->value, 0);
	o->value_started = false;
}

/* Reports the head of the final answer to the owner; interim (1xx) answers are skipped. Returns 1 if the
 * parser must not expect a body. */
static int on_headers_complete_(http_parser *p)
{
	Outbound *o = p->data;

	if (o->value_started)
		process_header_(o);
	o->is_interim = p->status_code / 100 == 1;
	if (o->is_interim)
		return 0;
	o->head_complete = true;
	o->head.status = (int)p->status_code;
	o->cb.on_head(o->ctx, &o->head);
	return o->no_body ? 1 : 0;
}

/* Passes a part of the body to the owner, unless the request has been cancelled. */
static int on_body_(http_parser *p, const char *at, size_t len)
{
	Outbound *o = p->data;

	if (!o->is_closed)
		o->cb.on_body(o->ctx, at, len);
	return 0;
}

/* Marks the answer as complete and pauses the parser, unless the message was an interim answer. */
static int on_message_complete_(http_parser *p)
{
	Outbound *o = p->data;

	if (o->is_interim) {
		o->is_interim = false;
		return 0;
	}
	o->is_complete = true;
	http_parser_pause(p, 1); /* bytes after the answer belong to no request */
	return 0;
}

/* Closes the connection and calls on_end with the result. Does nothing if the connection is closed. */
static void finish_(Outbound *o, OutboundEnd end)
{
	OutboundCallbacks cb = o->cb;
	void *ctx = o->ctx;

	if (o->is_closed)
		return;
	close_connection_(o);
	cb.on_end(ctx, end);
}

/* Cancels the request without calling on_end. The endpoint sees the connection close. */
void outbound_cancel(Outbound *o)
{
	if (!o->is_closed)
		close_connection_(o);
}

/* Closes the connection to further events; the event loop frees it later. */
static void close_connection_(Outbound *o)
{
	struct timeval at_once = {0, 0};

	o->is_closed = true;
	bufferevent_setcb(o->bev, NULL, NULL, NULL, NULL);
	bufferevent_disable(o->bev, EV_READ | EV_WRITE);
	event_base_once(o->gate->base, -1, EV_TIMEOUT, on_free_, o, &at_once);
}

/* Frees a closed connection and closes its socket. */
static void on_free_(evutil_socket_t fd, short what, void *arg)
{
	Outbound *o = arg;

	(void)fd;
	(void)what;
	bufferevent_free(o->bev);
	if (o->head.headers)
		g_string_free(o->head.headers, TRUE);
	g_string_free(o->name, TRUE);
	g_string_free(o->value, TRUE);
	g_free(o);
}
