/* SPDX-License-Identifier: BSD-3-Clause */
/* One request to an endpoint on a connection of its own. A fresh connection for each request costs a round
 * trip, and spares all that can go wrong on a used one: surplus answers, answers that come in another's
 * place, and endpoints that read the rest of an old body where the next request should stand. */
#include "gate.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include "clock.h"

/* Within a region a connection takes a few ms, after a lost packet some 200 more. */
#define CONNECT_TIMEOUT_MS 400
#define SILENT_MS 3000 /* that sent bytes may go without an acknowledgement */
#define HEAD_MAX (32 * 1024)

struct Outbound {
	Gate *gate;
	struct bufferevent *bev;
	http_parser parser;
	OutboundCallbacks cb;
	void *ctx;
	OutboundHead head;
	GString *name;
	GString *value;
	bool value_begun;
	size_t head_bytes;
	bool head_done;
	bool interim; /* the head being read is one of 1xx */
	bool connected;
	bool whole;
	bool dead;
	bool no_body; /* of an answer to HEAD */
};

static void on_read_(struct bufferevent *bev, void *arg);
static void on_event_(struct bufferevent *bev, short what, void *arg);
static int on_begin_(http_parser *p);
static int on_status_(http_parser *p, const char *at, size_t len);
static int on_name_(http_parser *p, const char *at, size_t len);
static int on_value_(http_parser *p, const char *at, size_t len);
static int on_head_done_(http_parser *p);
static int on_body_(http_parser *p, const char *at, size_t len);
static int on_whole_(http_parser *p);
static void store_field_(Outbound *o);
static void clear_head_(Outbound *o);
static void end_(Outbound *o, OutboundEnd end);
static void retire_(Outbound *o);
static void free_later_(evutil_socket_t fd, short what, void *arg);

static const http_parser_settings Callbacks_ = {.on_message_begin = on_begin_,
												.on_status = on_status_,
												.on_header_field = on_name_,
												.on_header_value = on_value_,
												.on_headers_complete = on_head_done_,
												.on_body = on_body_,
												.on_message_complete = on_whole_};

static const char *const ConnectionFields_[] = {"connection",    "keep-alive", "proxy-connection",
												"trailer",       "upgrade",    "transfer-encoding",
												"content-length"};

/* Connects to `address` and sends `request`, whose bytes it takes. Its end always comes from the loop. */
Outbound *outbound_start(Gate *g, const char *address, struct evbuffer *request, const OutboundCallbacks *cb,
						 void *ctx)
{
	Outbound *o = g_new0(Outbound, 1);
	struct sockaddr_storage sa;
	int len = sizeof sa;
	struct timeval timeout = {0, CONNECT_TIMEOUT_MS * 1000};
	int one = 1;
	unsigned silent_ms = SILENT_MS;
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
	o->bev = bufferevent_socket_new(g->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(o->bev, on_read_, NULL, on_event_, o);
	bufferevent_set_timeouts(o->bev, NULL, &timeout);
	bufferevent_enable(o->bev, EV_READ | EV_WRITE);
	bufferevent_write_buffer(o->bev, request);
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len) != 0)
		memset(&sa, 0, sizeof sa); /* the connection fails, and says so from the loop */
	bufferevent_socket_connect(o->bev, (struct sockaddr *)&sa, len);
	setsockopt(bufferevent_getfd(o->bev), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt(bufferevent_getfd(o->bev), IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
	return o;
}

bool outbound_is_connected(const Outbound *o)
{
	return o->connected;
}

/* Stops reading the answer for a while, or goes on. */
void outbound_pause(Outbound *o, bool paused)
{
	if (paused)
		bufferevent_disable(o->bev, EV_READ);
	else
		bufferevent_enable(o->bev, EV_READ);
}

static void on_read_(struct bufferevent *bev, void *arg)
{
	Outbound *o = arg;
	struct evbuffer *input = bufferevent_get_input(bev);

	while (!o->dead && evbuffer_get_length(input) > 0) {
		size_t len = evbuffer_get_contiguous_space(input);
		const char *data = (const char *)evbuffer_pullup(input, (ev_ssize_t)len);
		size_t used = http_parser_execute(&o->parser, &Callbacks_, data, len);
		bool failed = HTTP_PARSER_ERRNO(&o->parser) != HPE_OK && HTTP_PARSER_ERRNO(&o->parser) != HPE_PAUSED;
		if (o->dead)
			return;
		evbuffer_drain(input, used);
		o->head_bytes += o->head_done ? 0 : used;
		if (o->whole) {
			end_(o, OUTBOUND_DONE);
		}
		else if (failed || o->head_bytes > HEAD_MAX) {
			o->gate->counters.bad_answers++;
			end_(o, OUTBOUND_BROKEN);
		}
	}
}

static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	Outbound *o = arg;

	if (what & BEV_EVENT_CONNECTED) {
		o->connected = true;
		bufferevent_set_timeouts(bev, NULL, NULL);
		return;
	}
	if (!o->connected) {
		end_(o, OUTBOUND_UNREACHABLE);
		return;
	}
	if (what & BEV_EVENT_EOF && evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		on_read_(bev, o);
	if (o->dead)
		return;
	if (what & BEV_EVENT_EOF) /* ends an answer without a length */
		http_parser_execute(&o->parser, &Callbacks_, NULL, 0);
	if (!o->dead)
		end_(o, o->whole ? OUTBOUND_DONE : OUTBOUND_BROKEN);
}

static int on_begin_(http_parser *p)
{
	clear_head_(p->data);
	return 0;
}

static void clear_head_(Outbound *o)
{
	if (o->head.headers)
		g_string_free(o->head.headers, TRUE);
	memset(&o->head, 0, sizeof o->head);
	o->head.headers = g_string_new(NULL);
	g_string_truncate(o->name, 0);
	g_string_truncate(o->value, 0);
	o->value_begun = false;
	o->head_done = false;
}

static int on_status_(http_parser *p, const char *at, size_t len)
{
	Outbound *o = p->data;
	size_t used = strlen(o->head.reason);

	if (used + len < sizeof o->head.reason)
		memcpy(o->head.reason + used, at, len);
	return 0;
}

static int on_name_(http_parser *p, const char *at, size_t len)
{
	Outbound *o = p->data;

	if (o->value_begun)
		store_field_(o);
	g_string_append_len(o->name, at, (gssize)len);
	return 0;
}

static int on_value_(http_parser *p, const char *at, size_t len)
{
	Outbound *o = p->data;

	o->value_begun = true;
	g_string_append_len(o->value, at, (gssize)len);
	return 0;
}

static void store_field_(Outbound *o)
{
	HeaderAction use;
	bool drop = false;

	for (size_t k = 0; k < G_N_ELEMENTS(ConnectionFields_) && !drop; k++)
		drop = !g_ascii_strcasecmp(o->name->str, ConnectionFields_[k]);
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
	o->value_begun = false;
}

static int on_head_done_(http_parser *p)
{
	Outbound *o = p->data;

	if (o->value_begun)
		store_field_(o);
	o->interim = p->status_code / 100 == 1;
	if (o->interim)
		return 0;
	o->head_done = true;
	o->head.status = (int)p->status_code;
	o->cb.on_head(o->ctx, &o->head);
	return o->no_body ? 1 : 0;
}

static int on_body_(http_parser *p, const char *at, size_t len)
{
	Outbound *o = p->data;

	if (!o->dead)
		o->cb.on_body(o->ctx, at, len);
	return 0;
}

static int on_whole_(http_parser *p)
{
	Outbound *o = p->data;

	if (o->interim) {
		o->interim = false;
		return 0;
	}
	o->whole = true;
	http_parser_pause(p, 1); /* what follows belongs to no request */
	return 0;
}

/* Tells the end, once. */
static void end_(Outbound *o, OutboundEnd end)
{
	OutboundCallbacks cb = o->cb;
	void *ctx = o->ctx;

	if (o->dead)
		return;
	retire_(o);
	cb.on_end(ctx, end);
}

/* Ends the call without a word to its owner; the endpoint sees the connection close. */
void outbound_cancel(Outbound *o)
{
	if (!o->dead)
		retire_(o);
}

static void retire_(Outbound *o)
{
	struct timeval at_once = {0, 0};

	o->dead = true;
	bufferevent_setcb(o->bev, NULL, NULL, NULL, NULL);
	bufferevent_disable(o->bev, EV_READ | EV_WRITE);
	event_base_once(o->gate->base, -1, EV_TIMEOUT, free_later_, o, &at_once);
}

static void free_later_(evutil_socket_t fd, short what, void *arg)
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
