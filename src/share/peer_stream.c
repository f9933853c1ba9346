/* SPDX-License-Identifier: BSD-3-Clause */
/* Frames in both directions of one connection. The side that accepts sends the nonce, as in peers.c; its own
 * frames carry the same nonce reversed, so that no frame can be played back to its sender. */
#include "peer_stream.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include "log.h"

/* A peer within the region sends its nonce after a round trip of a few ms. */
#define GREETING_TIMEOUT_MS 100
/* Longest time that sent bytes may stay unacknowledged, and that an idle connection may stay without a
 * keep-alive probe: a peer without power shows by nothing else. */
#define SILENT_MS 1000
#define KEEPALIVE_IDLE_S 1
#define CHUNK_MAX (16 * 1024) /* bytes in one message */

struct PeerStream {
	struct event_base *base;
	struct bufferevent *bev;
	FrameSession sent;
	FrameSession received;
	PeerStreamCallbacks cb;
	void *ctx;
	GQueue pending; /* GBytes: messages that wait for the nonce */
	bool is_ready;  /* the nonce is known */
	bool is_closed; /* closed; the event loop frees the memory later */
};

static void set_options_(evutil_socket_t fd);
static void on_read_(struct bufferevent *bev, void *arg);
static bool read_nonce_(PeerStream *s);
static bool read_message_(PeerStream *s);
static void on_written_(struct bufferevent *bev, void *arg);
static void on_event_(struct bufferevent *bev, short what, void *arg);
static void fail_(PeerStream *s);
static void on_free_(evutil_socket_t fd, short what, void *arg);

/* Opens a stream to the node whose peers.h listens at `address`. The callbacks run from the event loop only.
 */
PeerStream *peer_stream_open(struct event_base *base, const char *address, const char *key,
							 const PeerStreamCallbacks *cb, void *ctx)
{
	PeerStream *s = g_new0(PeerStream, 1);
	struct timeval timeout = {0, GREETING_TIMEOUT_MS * 1000};
	struct sockaddr_storage sa;
	int len = sizeof sa;

	s->base = base;
	g_queue_init(&s->pending);
	frame_set_key(&s->sent, key);
	peer_stream_set_callbacks(s, cb, ctx);
	s->bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(s->bev, on_read_, on_written_, on_event_, s);
	bufferevent_set_timeouts(s->bev, &timeout, NULL);
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len) != 0)
		memset(&sa, 0, sizeof sa); /* the connection attempt fails, which the event loop reports */
	bufferevent_socket_connect(s->bev, (struct sockaddr *)&sa, len);
	set_options_(bufferevent_getfd(s->bev));
	return s;
}

/* Takes over an accepted connection whose greeting and first message have been read with the session
 * `received`. The caller sets the callbacks at once. */
PeerStream *peer_stream_accept(struct bufferevent *bev, const FrameSession *received)
{
	PeerStream *s = g_new0(PeerStream, 1);

	s->base = bufferevent_get_base(bev);
	g_queue_init(&s->pending);
	s->bev = bev;
	s->received = *received;
	frame_reverse(received, &s->sent);
	s->is_ready = true;
	bufferevent_set_timeouts(bev, NULL, NULL);
	bufferevent_setcb(bev, on_read_, on_written_, on_event_, s);
	set_options_(bufferevent_getfd(bev));
	bufferevent_trigger(bev, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
	return s;
}

/* Sets the callbacks and their first argument. */
void peer_stream_set_callbacks(PeerStream *s, const PeerStreamCallbacks *cb, void *ctx)
{
	s->cb = *cb;
	s->ctx = ctx;
}

/* Sends small messages at once, and has the kernel find out that the peer is gone. */
static void set_options_(evutil_socket_t fd)
{
	int one = 1;
	int idle_s = KEEPALIVE_IDLE_S;
	unsigned silent_ms = SILENT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle_s, sizeof idle_s);
}

/* Sends a message, or keeps it until the connection is set up. */
void peer_stream_send(PeerStream *s, const BH__Message *m)
{
	size_t len;
	char *data = bh__message_encode(m, &len);

	if (s->is_ready)
		frame_write(&s->sent, bufferevent_get_output(s->bev), data, len);
	else
		g_queue_push_tail(&s->pending, g_bytes_new(data, len));
	free(data);
}

/* Sends the bytes in `data`, which are drained, as messages of limited size of the node with this id and boot
 * id, so that both sides handle them piece by piece. */
void peer_stream_send_bytes(PeerStream *s, uint64_t node_id, uint64_t boot_id, struct evbuffer *data)
{
	while (evbuffer_get_length(data) > 0) {
		size_t len = MIN(evbuffer_get_length(data), (size_t)CHUNK_MAX);
		BH__Message m = {.type = BH__MESSAGE_RELAY_DATA, .from_node = node_id, .from_boot = boot_id};
		m.as.relay_data.bytes = (char *)evbuffer_pullup(data, (ev_ssize_t)len);
		m.as.relay_data.len = (uint32_t)len;
		peer_stream_send(s, &m);
		evbuffer_drain(data, len);
	}
}

/* Returns the bytes that have been sent and not yet been passed to the kernel. They are the stream's, until
 * the event loop frees it. */
struct evbuffer *peer_stream_get_output(const PeerStream *s)
{
	return bufferevent_get_output(s->bev);
}

/* Pauses or resumes reading. */
void peer_stream_pause(PeerStream *s, bool paused)
{
	if (paused) {
		bufferevent_disable(s->bev, EV_READ);
		return;
	}
	bufferevent_enable(s->bev, EV_READ);
	bufferevent_trigger(s->bev, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/* Reads the nonce and all complete messages. */
static void on_read_(struct bufferevent *bev, void *arg)
{
	PeerStream *s = arg;

	(void)bev;
	if (!s->is_ready && !read_nonce_(s))
		return;
	while (!s->is_closed && bufferevent_get_enabled(s->bev) & EV_READ && read_message_(s))
		;
}

/* Reads the nonce that the other side sends first, and sends what waited for it. Returns false if it has not
 * come yet. */
static bool read_nonce_(PeerStream *s)
{
	struct evbuffer *in = bufferevent_get_input(s->bev);
	GBytes *bytes;

	if (evbuffer_get_length(in) < FRAME_NONCE_LEN)
		return false;
	evbuffer_remove(in, s->sent.nonce, FRAME_NONCE_LEN);
	frame_reverse(&s->sent, &s->received);
	s->is_ready = true;
	bufferevent_set_timeouts(s->bev, NULL, NULL);
	frame_write(&s->sent, bufferevent_get_output(s->bev), "", 0); /* the first frame must be a small one */
	while ((bytes = g_queue_pop_head(&s->pending))) {
		frame_write(&s->sent, bufferevent_get_output(s->bev), g_bytes_get_data(bytes, NULL),
					g_bytes_get_size(bytes));
		g_bytes_unref(bytes);
	}
	return true;
}

/* Reads one message and passes it to the owner. Returns false if there is none, or a malformed one, which
 * closes the stream. */
static bool read_message_(PeerStream *s)
{
	BH__Message m;
	GError *error = NULL;
	char *body;
	size_t len;
	FrameStatus status = frame_read(&s->received, bufferevent_get_input(s->bev), &body, &len);
	bool ok;

	if (status == FRAME_INCOMPLETE)
		return false;
	if (status == FRAME_BAD) {
		log_error("peer-frame-refused", "cause=\"wrong key, replay or malformed\"");
		fail_(s);
		return false;
	}
	ok = bh__message_decode(&m, body, len, &error);
	if (ok) {
		s->cb.on_message(s->ctx, &m);
	}
	else {
		log_error("peer-message-refused", "cause=\"%s\"", error->message);
		g_error_free(error);
		fail_(s);
	}
	bh__message_finish(&m);
	free(body);
	return ok;
}

static void on_written_(struct bufferevent *bev, void *arg)
{
	PeerStream *s = arg;

	(void)bev;
	if (s->is_ready)
		s->cb.on_drained(s->ctx);
}

/* Handles a connection that could not be set up in time, that broke, or that the other side closed. */
static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	PeerStream *s = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (what & BEV_EVENT_EOF && evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		on_read_(bev, s);
	if (!s->is_closed)
		fail_(s);
}

/* Closes the stream and tells the owner. */
static void fail_(PeerStream *s)
{
	peer_stream_close(s);
	s->cb.on_closed(s->ctx);
}

/* Closes the stream without calling on_closed(); the event loop frees it later. */
void peer_stream_close(PeerStream *s)
{
	struct timeval at_once = {0, 0};

	if (s->is_closed)
		return;
	s->is_closed = true;
	bufferevent_setcb(s->bev, NULL, NULL, NULL, NULL);
	bufferevent_disable(s->bev, EV_READ | EV_WRITE);
	event_base_once(s->base, -1, EV_TIMEOUT, on_free_, s, &at_once);
}

/* Frees a closed stream. */
static void on_free_(evutil_socket_t fd, short what, void *arg)
{
	PeerStream *s = arg;

	(void)fd;
	(void)what;
	bufferevent_free(s->bev);
	g_queue_clear_full(&s->pending, (GDestroyNotify)g_bytes_unref);
	g_free(s);
}
