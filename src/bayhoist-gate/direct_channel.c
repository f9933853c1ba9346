/* SPDX-License-Identifier: BSD-3-Clause */
/* A channel over a connection of this node's to the endpoint. Reads and writes fail apart and in either
 * order, and a read after a write that failed finds the same end as after a good close. So what has failed is
 * kept, and the channel's end is told once, when nothing more can be read and it is known what became of the
 * request. */
#include "channel.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include "bound_socket.h"
#include "socket_state.h"

/* Longest time that sent bytes may stay unacknowledged; a sound endpoint may be silent for a second. */
#define UNACKED_TIMEOUT_MS 3000
#define SENT_CHECK_MS 5 /* between looks at how much of a request the kernel still has to send */

typedef struct {
	Channel base; /* first member: callbacks cast it to the enclosing structure */
	Gate *gate;
	struct bufferevent *bev;
	struct event *sent_check; /* while only the rest of the request is waited for; NULL: it is not */
	uint64_t request_bytes;   /* that are to be written */
	uint64_t written_bytes;
	bool is_open;
	bool has_failed; /* a read or a write has failed since it opened */
	bool is_closed;  /* closed; the event loop frees the memory later */
} DirectChannel;

static void write_(Channel *c, struct evbuffer *data);
static void pause_(Channel *c, bool paused);
static void close_(Channel *c);
static void on_read_(struct bufferevent *bev, void *arg);
static void on_written_(struct bufferevent *bev, void *arg);
static void on_event_(struct bufferevent *bev, short what, void *arg);
static void process_read_end_(DirectChannel *d);
static bool is_request_sent_(const DirectChannel *d);
static void wait_until_sent_(DirectChannel *d);
static void on_sent_check_(evutil_socket_t fd, short what, void *arg);
static void end_(DirectChannel *d, ChannelEnd end);
static void on_free_(evutil_socket_t fd, short what, void *arg);

static const ChannelOps Ops_ = {.write = write_, .pause = pause_, .close = close_};

/* Begins to connect to `address`, for `patience_us` at most. `request_bytes` are to be written. */
Channel *direct_channel_new(Gate *g, const char *address, uint64_t request_bytes, uint64_t patience_us,
							const ChannelCallbacks *cb, void *ctx)
{
	DirectChannel *d = g_new0(DirectChannel, 1);
	struct timeval timeout = {(time_t)(patience_us / BH__SECOND_US),
							  (suseconds_t)(patience_us % BH__SECOND_US)};
	struct sockaddr_storage sa;
	int len = sizeof sa;
	int one = 1;
	unsigned unacked_timeout_ms = UNACKED_TIMEOUT_MS;

	d->base = (Channel){.ops = &Ops_, .cb = *cb, .ctx = ctx};
	d->gate = g;
	d->request_bytes = request_bytes;
	d->bev = bufferevent_socket_new(g->base, bound_socket_new(g->settings.endpoint_source),
									BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(d->bev, on_read_, on_written_, on_event_, d);
	bufferevent_set_timeouts(d->bev, NULL, &timeout);
	bufferevent_set_max_single_read(d->bev, answer_buffer_get_read_max(g));
	bufferevent_enable(d->bev, EV_READ | EV_WRITE);
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len) != 0)
		memset(&sa, 0, sizeof sa); /* the connection attempt fails, which the event loop reports */
	bufferevent_socket_connect(d->bev, (struct sockaddr *)&sa, len);
	setsockopt(bufferevent_getfd(d->bev), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt(bufferevent_getfd(d->bev), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
			   sizeof unacked_timeout_ms);
	return &d->base;
}

static void write_(Channel *c, struct evbuffer *data)
{
	DirectChannel *d = (DirectChannel *)c;

	d->written_bytes += evbuffer_get_length(data);
	bufferevent_write_buffer(d->bev, data);
}

static void pause_(Channel *c, bool paused)
{
	if (paused)
		bufferevent_disable(((DirectChannel *)c)->bev, EV_READ);
	else
		bufferevent_enable(((DirectChannel *)c)->bev, EV_READ);
}

static void on_read_(struct bufferevent *bev, void *arg)
{
	DirectChannel *d = arg;

	bufferevent_set_max_single_read(bev, answer_buffer_get_read_max(d->gate));
	d->base.cb.on_data(d->base.ctx, &d->base, bufferevent_get_input(bev));
}

static void on_written_(struct bufferevent *bev, void *arg)
{
	DirectChannel *d = arg;

	(void)bev;
	if (d->is_open && d->base.cb.on_drained)
		d->base.cb.on_drained(d->base.ctx, &d->base);
}

/* Handles the established connection, a failed connection attempt, and the end of reading or writing. After a
 * write that failed, what the endpoint had sent is read to its end. */
static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	DirectChannel *d = arg;

	if (what & BEV_EVENT_CONNECTED) {
		d->is_open = true;
		bufferevent_set_timeouts(bev, NULL, NULL);
		d->base.cb.on_open(d->base.ctx, &d->base);
		return;
	}
	if (!d->is_open) {
		end_(d, what & BEV_EVENT_TIMEOUT ? CHANNEL_SILENT : CHANNEL_REFUSED);
		return;
	}
	if (what & BEV_EVENT_ERROR)
		d->has_failed = true;
	if (d->sent_check)
		process_read_end_(d);
	else if (what & BEV_EVENT_READING) {
		if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
			on_read_(bev, d);
		if (!d->is_closed)
			process_read_end_(d);
	}
}

/* Ends a channel on which nothing more can be read, or waits until it is known what becomes of the rest of
 * the request. */
static void process_read_end_(DirectChannel *d)
{
	if (d->has_failed || socket_has_failed(bufferevent_getfd(d->bev)))
		end_(d, CHANNEL_BROKEN);
	else if (is_request_sent_(d))
		end_(d, CHANNEL_CLOSED);
	else
		wait_until_sent_(d);
}

/* Returns true if the endpoint's VM has acknowledged the whole request. */
static bool is_request_sent_(const DirectChannel *d)
{
	return d->written_bytes >= d->request_bytes && !evbuffer_get_length(bufferevent_get_output(d->bev)) &&
		   !socket_has_unsent(bufferevent_getfd(d->bev));
}

/* Looks again soon: the kernel does not tell when it has sent all. */
static void wait_until_sent_(DirectChannel *d)
{
	struct timeval tv = {0, SENT_CHECK_MS * 1000};

	if (!d->sent_check) {
		d->sent_check = evtimer_new(d->gate->base, on_sent_check_, d);
		if (d->base.cb.on_answer_end)
			d->base.cb.on_answer_end(d->base.ctx, &d->base);
	}
	if (!d->is_closed)
		evtimer_add(d->sent_check, &tv);
}

static void on_sent_check_(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	process_read_end_(arg);
}

/* Closes the channel and tells its owner how it has ended. */
static void end_(DirectChannel *d, ChannelEnd end)
{
	close_(&d->base);
	d->base.cb.on_end(d->base.ctx, &d->base, end);
}

/* Closes the connection to further events; the event loop frees it later. */
static void close_(Channel *c)
{
	DirectChannel *d = (DirectChannel *)c;
	struct timeval at_once = {0, 0};

	if (d->is_closed)
		return;
	d->is_closed = true;
	if (d->sent_check)
		event_free(d->sent_check);
	bufferevent_setcb(d->bev, NULL, NULL, NULL, NULL);
	bufferevent_disable(d->bev, EV_READ | EV_WRITE);
	event_base_once(d->gate->base, -1, EV_TIMEOUT, on_free_, d, &at_once);
}

/* Frees a closed channel and closes its socket. */
static void on_free_(evutil_socket_t fd, short what, void *arg)
{
	DirectChannel *d = arg;

	(void)fd;
	(void)what;
	bufferevent_free(d->bev);
	g_free(d);
}
