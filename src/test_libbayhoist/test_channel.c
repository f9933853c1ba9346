/* SPDX-License-Identifier: BSD-3-Clause */
/* How a channel to an endpoint ends, over real sockets. The test is the endpoint, in the same thread, so that
 * what comes first is certain. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "channel.h"

#define PATIENCE_US (2 * BH__SECOND_US)
#define UPLOAD_BYTES (8 * 1024 * 1024) /* more than the kernel takes */
#define KEPT_BYTES (1024 * 1024)       /* what it takes, and an endpoint that does not read does not */
#define SMALL_BYTES 1000
#define LARGE_ANSWER_BYTES 40000 /* several reads */
#define READ_MAX 4096            /* bytes of one read of a channel */
#define TURN_MS 50               /* for which the loop runs, where nothing need happen */
#define WAIT_MS 2000             /* at most, for what must happen */

/* A channel, its endpoint, and what the channel has told. */
typedef struct {
	Gate *gate;
	Channel *channel; /* NULL: it has ended */
	evutil_socket_t endpoint;
	size_t read_bytes;
	unsigned answer_ends;
	bool is_open;
	ChannelEnd end;
} Fixture;

/* The bytes of one read, in place of what the memory budget allows. */
size_t answer_buffer_get_read_max(const Gate *g)
{
	(void)g;
	return READ_MAX;
}

static void on_open_(void *ctx, Channel *c)
{
	(void)c;
	((Fixture *)ctx)->is_open = true;
}

static void on_data_(void *ctx, Channel *c, struct evbuffer *data)
{
	(void)c;
	((Fixture *)ctx)->read_bytes += evbuffer_get_length(data);
	evbuffer_drain(data, evbuffer_get_length(data));
}

static void on_answer_end_(void *ctx, Channel *c)
{
	(void)c;
	((Fixture *)ctx)->answer_ends++;
}

static void on_end_(void *ctx, Channel *c, ChannelEnd end)
{
	Fixture *f = ctx;

	(void)c;
	f->channel = NULL;
	f->end = end;
}

static void on_late_(evutil_socket_t fd, short what, void *base)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(base);
}

/* Runs the loop for a while. */
static void turn_(Fixture *f, unsigned ms)
{
	struct timeval tv = {ms / 1000, (suseconds_t)(ms % 1000 * 1000)};
	struct event *late = evtimer_new(f->gate->base, on_late_, f->gate->base);

	evtimer_add(late, &tv);
	event_base_loop(f->gate->base, EVLOOP_NO_EXIT_ON_EMPTY);
	event_free(late);
}

static void wait_for_end_(Fixture *f)
{
	for (unsigned ms = 0; f->channel && ms < WAIT_MS; ms += TURN_MS)
		turn_(f, TURN_MS);
	assert_null(f->channel);
}

static void write_(const Fixture *f, size_t bytes)
{
	struct evbuffer *out = evbuffer_new();
	char *data = g_malloc0(bytes);

	evbuffer_add(out, data, bytes);
	f->channel->ops->write(f->channel, out);
	evbuffer_free(out);
	g_free(data);
}

/* Opens a channel on which a request of `request_bytes` is written, as far as the kernel takes it. */
static void start_(Fixture *f, size_t request_bytes)
{
	static const ChannelCallbacks Callbacks = {
		.on_open = on_open_, .on_data = on_data_, .on_answer_end = on_answer_end_, .on_end = on_end_};
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof sa;
	int listening = socket(AF_INET, SOCK_STREAM, 0);
	char address[BH__ADDRESS_LEN];
	int one = 1;

	memset(f, 0, sizeof *f);
	f->gate = g_new0(Gate, 1);
	f->gate->base = event_base_new();
	assert_return_code(bind(listening, (struct sockaddr *)&sa, sizeof sa), 0);
	assert_return_code(listen(listening, 1), 0);
	assert_return_code(getsockname(listening, (struct sockaddr *)&sa, &len), 0);
	g_snprintf(address, sizeof address, "127.0.0.1:%u", ntohs(sa.sin_port));
	f->channel = direct_channel_new(f->gate, address, request_bytes, PATIENCE_US, &Callbacks, f);
	f->endpoint = accept(listening, NULL, NULL);
	close(listening);
	setsockopt(f->endpoint, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	turn_(f, TURN_MS);
	assert_true(f->is_open);
}

static void stop_(Fixture *f)
{
	if (f->channel)
		f->channel->ops->close(f->channel);
	turn_(f, TURN_MS);
	close(f->endpoint);
	event_base_free(f->gate->base);
	g_free(f->gate);
}

static void answer_(const Fixture *f, size_t bytes)
{
	char *data = g_malloc0(bytes);

	assert_int_equal(send(f->endpoint, data, bytes, MSG_NOSIGNAL), bytes);
	g_free(data);
}

static void reset_(Fixture *f)
{
	struct linger at_once = {.l_onoff = 1, .l_linger = 0};

	setsockopt(f->endpoint, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
	close(f->endpoint);
	f->endpoint = -1;
}

/* Reads what the channel sends, for as long as that comes. */
static size_t read_all_(Fixture *f)
{
	char data[65536];
	size_t all = 0;
	ssize_t n = 1;

	for (unsigned ms = 0; ms < WAIT_MS && n != 0; ms += TURN_MS) {
		while ((n = recv(f->endpoint, data, sizeof data, MSG_DONTWAIT)) > 0)
			all += (size_t)n;
		if (n != 0 && f->channel)
			turn_(f, TURN_MS);
	}
	return all;
}

/* The reset is met by a write first, and a read finds nothing but an end then. */
static void a_reset_while_the_request_is_sent_is_a_break_(void **state)
{
	Fixture f;

	(void)state;
	start_(&f, UPLOAD_BYTES);
	write_(&f, UPLOAD_BYTES);
	answer_(&f, 3);
	turn_(&f, TURN_MS);
	assert_int_equal(f.read_bytes, 3);
	reset_(&f);
	wait_for_end_(&f);
	assert_int_equal(f.end, CHANNEL_BROKEN);
	stop_(&f);
}

static void an_end_and_a_reset_behind_it_are_a_break_(void **state)
{
	static const size_t Requests[] = {UPLOAD_BYTES, SMALL_BYTES};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Requests); i++) {
		Fixture f;
		start_(&f, Requests[i]);
		write_(&f, Requests[i]);
		turn_(&f, TURN_MS);
		answer_(&f, 3);
		shutdown(f.endpoint, SHUT_WR);
		reset_(&f);
		wait_for_end_(&f);
		assert_int_equal(f.read_bytes, 3);
		assert_int_equal(f.end, CHANNEL_BROKEN);
		stop_(&f);
	}
}

/* The channel's owner holds a part of the request, or the channel does, or the kernel. */
static void an_end_before_the_request_is_sent_is_none_(void **state)
{
	static const struct {
		size_t request;
		size_t written;
	} Rows[] = {{SMALL_BYTES + 1, SMALL_BYTES}, {UPLOAD_BYTES, UPLOAD_BYTES}, {KEPT_BYTES, KEPT_BYTES}};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(Rows); i++) {
		Fixture f;
		start_(&f, Rows[i].request);
		write_(&f, Rows[i].written);
		turn_(&f, TURN_MS);
		answer_(&f, 3);
		shutdown(f.endpoint, SHUT_WR);
		turn_(&f, TURN_MS);
		assert_non_null(f.channel);
		assert_int_equal(f.answer_ends, 1);
		reset_(&f);
		wait_for_end_(&f);
		assert_int_equal(f.end, CHANNEL_BROKEN);
		assert_int_equal(f.answer_ends, 1);
		stop_(&f);
	}
}

static void an_end_is_good_once_the_request_has_been_taken_(void **state)
{
	Fixture f;

	(void)state;
	start_(&f, UPLOAD_BYTES);
	write_(&f, UPLOAD_BYTES);
	answer_(&f, 3);
	shutdown(f.endpoint, SHUT_WR);
	turn_(&f, TURN_MS);
	assert_non_null(f.channel);
	assert_int_equal(read_all_(&f), UPLOAD_BYTES);
	assert_null(f.channel);
	assert_int_equal(f.end, CHANNEL_CLOSED);
	stop_(&f);
}

static void a_close_after_the_request_is_good_(void **state)
{
	Fixture f;

	(void)state;
	start_(&f, SMALL_BYTES);
	write_(&f, SMALL_BYTES);
	turn_(&f, TURN_MS);
	assert_int_equal(recv(f.endpoint, (char[SMALL_BYTES]){0}, SMALL_BYTES, 0), SMALL_BYTES);
	answer_(&f, 3);
	close(f.endpoint);
	f.endpoint = -1;
	wait_for_end_(&f);
	assert_int_equal(f.read_bytes, 3);
	assert_int_equal(f.end, CHANNEL_CLOSED);
	assert_int_equal(f.answer_ends, 0);
	stop_(&f);
}

/* A write fails before the answer has been read, which is there all the same. */
static void what_came_before_a_reset_is_read_(void **state)
{
	Fixture f;

	(void)state;
	start_(&f, UPLOAD_BYTES);
	write_(&f, UPLOAD_BYTES);
	turn_(&f, TURN_MS);
	answer_(&f, LARGE_ANSWER_BYTES);
	reset_(&f);
	wait_for_end_(&f);
	assert_int_equal(f.read_bytes, LARGE_ANSWER_BYTES);
	assert_int_equal(f.end, CHANNEL_BROKEN);
	stop_(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_reset_while_the_request_is_sent_is_a_break_),
		cmocka_unit_test(an_end_and_a_reset_behind_it_are_a_break_),
		cmocka_unit_test(an_end_before_the_request_is_sent_is_none_),
		cmocka_unit_test(an_end_is_good_once_the_request_has_been_taken_),
		cmocka_unit_test(a_close_after_the_request_is_good_),
		cmocka_unit_test(what_came_before_a_reset_is_read_),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
