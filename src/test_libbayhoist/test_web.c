/* SPDX-License-Identifier: BSD-3-Clause */
/* HTTP calls on a connection of their own: each says once how it ended, and leaves nothing behind. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <event2/event.h>
#include <glib.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include "web.h"
#include "web_call.h"

#define NOBODY_LISTENS_PORT 9
#define CALLS 500
/* What libevent keeps for a connection is above a kilobyte. */
#define KEPT_MAX_BYTES (CALLS * 100)

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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(calls_that_are_refused_leave_nothing_behind_),
		cmocka_unit_test(calls_that_fail_at_once_leave_nothing_behind_),
		cmocka_unit_test(calls_that_are_answered_end_once_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
