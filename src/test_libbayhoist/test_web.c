/* SPDX-License-Identifier: BSD-3-Clause */
/* HTTP calls on a connection of their own: each says once how it ended, and leaves nothing behind. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <malloc.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include "web.h"
#include "web_call.h"

#define NOBODY_LISTENS_PORT 9
#define CALLS 500
/* What libevent keeps for a connection is above a kilobyte. */
#define KEPT_MAX_BYTES (CALLS * 100)

/* Bounds of a call to a server that sends without an end; the sockets of both sides hold some megabytes. */
#define BODY_MAX (64 * 1024)
#define TIME_MAX_MS 300
#define SENT_MAX (16 * 1024 * 1024)

typedef struct {
	unsigned told;
	int status;
} Ended;

static void on_ended_(struct evhttp_request *req, void *arg)
{
	Ended *e = arg;

	e->told++;
	e->status = req ? evhttp_request_get_response_code(req) : 0;
}

static void call_(struct event_base *base, const char *ip, uint16_t port, Ended *e)
{
	WebCall *call = web_call_new(base, evhttp_connection_base_new(base, NULL, ip, port), on_ended_, e);

	evhttp_add_header(evhttp_request_get_output_headers(web_call_get_request(call)), "Host", "test");
	web_call_start(call, EVHTTP_REQ_GET, "/");
}

static void calls_(const char *ip, uint16_t port, unsigned count)
{
	struct event_base *base = event_base_new();
	Ended e = {0};

	for (unsigned i = 0; i < count; i++) {
		call_(base, ip, port, &e);
		assert_int_equal(e.told, i);
		event_base_dispatch(base);
		assert_int_equal(e.told, i + 1);
		assert_int_equal(e.status, 0);
	}
	event_base_free(base);
}

/* Under a sanitizer, which finds leaks itself, no bytes are counted. */
static void leave_nothing_behind_(const char *ip, uint16_t port)
{
	size_t before;

	calls_(ip, port, 10);
	before = mallinfo2().uordblks;
	calls_(ip, port, CALLS);
	assert_in_range(mallinfo2().uordblks, 0, before + KEPT_MAX_BYTES);
}

static void calls_that_are_refused_leave_nothing_behind_(void **state)
{
	(void)state;
	leave_nothing_behind_("127.0.0.1", NOBODY_LISTENS_PORT);
}

static void calls_that_fail_at_once_leave_nothing_behind_(void **state)
{
	(void)state;
	leave_nothing_behind_("", 0);
}

static void on_asked_(struct evhttp_request *req, void *arg)
{
	(void)arg;
	evhttp_send_reply(req, 200, "OK", NULL);
}

static void calls_that_are_answered_end_once_(void **state)
{
	struct event_base *base = event_base_new();
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
	ev_socklen_t len = sizeof(struct sockaddr_in);
	struct sockaddr_in at;
	Ended e = {0};

	(void)state;
	assert_non_null(bound);
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&at, &len);
	evhttp_set_gencb(http, on_asked_, NULL);
	for (unsigned i = 0; i < 10; i++)
		call_(base, "127.0.0.1", ntohs(at.sin_port), &e);
	for (unsigned i = 0; i < 1000 && e.told < 10; i++)
		event_base_loop(base, EVLOOP_ONCE);
	event_base_loop(base, EVLOOP_NONBLOCK);
	assert_int_equal(e.told, 10);
	assert_int_equal(e.status, 200);
	evhttp_free(http);
	event_base_free(base);
}

/* What a server without an end sends: a beginning, and what follows again and again. */
typedef struct {
	const char *begin;
	const char *repeated;
	unsigned every_ms; /* 0: as fast as it is taken */
	size_t sent;       /* bytes of that */
	struct bufferevent *bev;
} Endless;

static void send_on_(struct bufferevent *bev, void *arg)
{
	Endless *x = arg;

	for (unsigned i = 0; i < 1000; i++)
		bufferevent_write(bev, x->repeated, strlen(x->repeated));
	x->sent += 1000 * strlen(x->repeated);
}

static void on_drip_(evutil_socket_t fd, short what, void *arg)
{
	Endless *x = arg;

	(void)fd;
	(void)what;
	if (x->bev)
		bufferevent_write(x->bev, x->repeated, 1);
}

static void on_left_(struct bufferevent *bev, short what, void *arg)
{
	(void)what;
	((Endless *)arg)->bev = NULL;
	bufferevent_free(bev);
}

static void on_accepted_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
						 void *arg)
{
	Endless *x = arg;

	(void)sa;
	(void)len;
	x->bev = bufferevent_socket_new(evconnlistener_get_base(l), fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(x->bev, NULL, x->every_ms ? NULL : send_on_, on_left_, x);
	bufferevent_enable(x->bev, EV_READ | EV_WRITE);
	bufferevent_write(x->bev, x->begin, strlen(x->begin));
}

/* Calls a server that sends without an end, with bounds, and returns the milliseconds until the call ended.
 */
static int64_t call_endless_(Endless *x, Ended *e)
{
	struct event_base *base = event_base_new();
	struct sockaddr_in at = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct evconnlistener *l = evconnlistener_new_bind(base, on_accepted_, x, LEV_OPT_CLOSE_ON_FREE, 4,
													   (struct sockaddr *)&at, sizeof at);
	struct event *drip = event_new(base, -1, EV_PERSIST, on_drip_, x);
	struct timeval every = {0, (suseconds_t)(x->every_ms * 1000)};
	ev_socklen_t len = sizeof at;
	int64_t from_us = g_get_monotonic_time();
	WebCall *call;

	getsockname(evconnlistener_get_fd(l), (struct sockaddr *)&at, &len);
	call = web_call_new(base, evhttp_connection_base_new(base, NULL, "127.0.0.1", ntohs(at.sin_port)),
						on_ended_, e);
	web_call_limit(call, BODY_MAX, TIME_MAX_MS);
	if (x->every_ms)
		event_add(drip, &every);
	web_call_start(call, EVHTTP_REQ_GET, "/");
	while (!e->told && g_get_monotonic_time() - from_us < 10 * TIME_MAX_MS * 1000)
		event_base_loop(base, EVLOOP_ONCE);
	from_us = (g_get_monotonic_time() - from_us) / 1000;
	while (x->bev)
		event_base_loop(base, EVLOOP_ONCE); /* the other side sees it close */
	event_free(drip);
	evconnlistener_free(l);
	event_base_free(base);
	return from_us;
}

/* Guards against answers of the library's client that have no end: in a head, in a body, or byte by byte. */
static void answers_without_an_end_are_left_(void **state)
{
	static const Endless Table[] = {
		{.begin = "HTTP/1.1 200 ", .repeated = "x"},
		{.begin = "HTTP/1.1 200 OK\r\n", .repeated = "X-A: b\r\n"},
		{.begin = "HTTP/1.1 200 OK\r\n\r\n", .repeated = "x"},
		{.begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", .repeated = "1\r\nx\r\n"},
		{.begin = "HTTP/1.1 200 OK\r\n", .repeated = "X", .every_ms = 20},
		{.begin = "HTTP/1.1 200 OK\r\n\r\n", .repeated = "x", .every_ms = 20},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Table); i++) {
		Endless x = Table[i];
		Ended e = {0};

		assert_in_range(call_endless_(&x, &e), 0, 2 * TIME_MAX_MS);
		assert_int_equal(e.told, 1);
		assert_int_equal(e.status, 0);
		assert_in_range(x.sent, 0, SENT_MAX);
	}
}

/* Guards against heads that evhttp takes and that are none: the store's, and engines' reports and orders. */
static void answers_with_a_head_that_is_none_are_none_(void **state)
{
	static const char *const Odd[] = {
		"HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 O\001K\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX-Bad : v\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX\001Bad: v\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX-A: b\r\n folded\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 100 Continue\r\nX Bad: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	};
	static const char *const Sound[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200\r\nX-Odd!: \t\"(x): \351\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(Odd) + G_N_ELEMENTS(Sound); i++) {
		bool is_odd = i < G_N_ELEMENTS(Odd);
		Endless x = {.begin = is_odd ? Odd[i] : Sound[i - G_N_ELEMENTS(Odd)], .repeated = ""};
		Ended e = {0};

		call_endless_(&x, &e);
		assert_int_equal(e.told, 1);
		assert_int_equal(e.status, is_odd ? 0 : 200);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(calls_that_are_refused_leave_nothing_behind_),
		cmocka_unit_test(calls_that_fail_at_once_leave_nothing_behind_),
		cmocka_unit_test(calls_that_are_answered_end_once_),
		cmocka_unit_test(answers_without_an_end_are_left_),
		cmocka_unit_test(answers_with_a_head_that_is_none_are_none_),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
