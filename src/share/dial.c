/* SPDX-License-Identifier: BSD-3-Clause */
/* Connections that only tell whether somebody listens. A bufferevent is not used: of a connection that is
 * refused at once it does not keep why. */
#include "dial.h"

#include <errno.h>
#include <event2/util.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

/* A machine within the region answers in a few ms, after a lost packet in some 200 more. */
#define PATIENCE_MS 400

struct Dial {
	evutil_socket_t fd;
	int error; /* of a connection that failed at once; 0: none */
	struct event *event;
	void (*done)(void *ctx, DialEnd end);
	void *ctx;
};

static int connect_(Dial *d, const char *address);
static void on_event_(evutil_socket_t fd, short what, void *arg);
static DialEnd judge_(const Dial *d, short what);

/* Opens a connection to `address`. `done` is called once, from the loop; the dial is gone afterwards. */
Dial *dial_start(struct event_base *base, const char *address, void (*done)(void *ctx, DialEnd end),
				 void *ctx)
{
	Dial *d = g_new0(Dial, 1);
	struct timeval patience = {0, PATIENCE_MS * 1000};

	d->done = done;
	d->ctx = ctx;
	d->error = connect_(d, address);
	d->event = event_new(base, d->fd, EV_WRITE, on_event_, d);
	event_add(d->event, &patience);
	if (d->error)
		event_active(d->event, EV_WRITE, 1);
	return d;
}

/* Begins to connect. Returns an error number, or 0 if the outcome is still to come. */
static int connect_(Dial *d, const char *address)
{
	struct sockaddr_storage sa;
	int len = sizeof sa;

	d->fd = -1;
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len) != 0)
		return EINVAL;
	d->fd = socket(sa.ss_family, SOCK_STREAM, 0);
	if (d->fd < 0)
		return errno;
	evutil_make_socket_nonblocking(d->fd);
	evutil_make_socket_closeonexec(d->fd);
	if (connect(d->fd, (struct sockaddr *)&sa, (socklen_t)len) == 0 || errno == EINPROGRESS)
		return 0;
	return errno;
}

static void on_event_(evutil_socket_t fd, short what, void *arg)
{
	Dial *d = arg;
	DialEnd end = judge_(d, what);
	void (*done)(void *, DialEnd) = d->done;
	void *ctx = d->ctx;

	(void)fd;
	dial_cancel(d);
	done(ctx, end);
}

static DialEnd judge_(const Dial *d, short what)
{
	int error = d->error;
	socklen_t len = sizeof error;

	if (!error && what & EV_TIMEOUT)
		return DIAL_SILENT;
	if (!error && getsockopt(d->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		error = errno;
	if (!error)
		return DIAL_CONNECTED;
	return error == ECONNREFUSED ? DIAL_REFUSED : DIAL_SILENT;
}

/* Ends a dial without a word. */
void dial_cancel(Dial *d)
{
	event_free(d->event);
	if (d->fd >= 0)
		evutil_closesocket(d->fd);
	g_free(d);
}
