/* SPDX-License-Identifier: BSD-3-Clause */
/* Connections between nodes. Each node opens one connection to each peer that it has something to say to, and
 * says it there; answers come on the peer's own connection. */
#include "peers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>
#include "bound_socket.h"
#include "frame.h"
#include "log.h"

/* Bytes that may wait for a peer that does not read: the largest message, a configuration, has a megabyte. */
#define OUTPUT_MAX (8u * 1024 * 1024)
#define PENDING_MAX 1000 /* messages that may wait for a connection */
/* A peer without power drops the opening packet, and the kernel sends it again after a second only. So an
 * attempt is given up after the first of these times, the next after twice that, 1.5 s in all. A peer that is
 * started 50 ms after the attempt is reached after 100 ms instead of 1,000. */
#define FIRST_ATTEMPT_MS 100
#define ATTEMPTS_MAX 4
#define GREETING_TIMEOUT_S 10
/* That sent bytes may go without an acknowledgement, so that a connection which has gone silent is opened
 * anew; a lost packet is sent again twice in that time. */
#define SILENT_MS 1000

/* A connection that this node opened. */
typedef struct {
	Peers *peers;
	char address[BH__ADDRESS_LEN];
	struct bufferevent *bev;
	FrameSession session;
	unsigned attempts;
	bool ready;     /* the nonce has come */
	GQueue pending; /* GBytes *: encoded messages */
} PeerOut;

/* A connection that a peer opened. */
typedef struct {
	Peers *peers;
	struct bufferevent *bev;
	FrameSession session;
} PeerIn;

struct Peers {
	PeersOptions options;
	PeersCounters counters;
	struct evconnlistener *listener;
	GHashTable *out; /* PeerOut by address */
	GHashTable *in;  /* set of PeerIn */
};

static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg);
static void on_in_read_(struct bufferevent *bev, void *arg);
static bool hand_over_(PeerIn *in, const BH__Message *m);
static void on_in_event_(struct bufferevent *bev, short what, void *arg);
static PeerOut *open_(Peers *p, const char *address);
static void connect_(PeerOut *out);
static bool may_connect_again_(const PeerOut *out, short what);
static void on_out_read_(struct bufferevent *bev, void *arg);
static void on_out_event_(struct bufferevent *bev, short what, void *arg);
static void free_out_(gpointer out);
static void free_in_(gpointer in);
static void set_nodelay_(evutil_socket_t fd);

/* Listens for peers. Returns NULL if the address cannot be used. */
Peers *peers_new(const PeersOptions *options)
{
	Peers *p = g_new0(Peers, 1);
	struct sockaddr_storage sa;
	int len = sizeof sa;

	p->options = *options;
	p->out = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_out_);
	p->in = g_hash_table_new_full(g_direct_hash, g_direct_equal, free_in_, NULL);
	if (evutil_parse_sockaddr_port(options->address, (struct sockaddr *)&sa, &len) == 0)
		p->listener =
			evconnlistener_new_bind(options->base, on_accept_, p, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
									-1, (struct sockaddr *)&sa, len);
	if (p->listener)
		return p;
	peers_delete(p);
	return NULL;
}

void peers_delete(Peers *p)
{
	if (p->listener)
		evconnlistener_free(p->listener);
	g_hash_table_unref(p->out);
	g_hash_table_unref(p->in);
	g_free(p);
}

/* Sends small messages at once, and gives up on a peer that has gone silent. */
static void set_nodelay_(evutil_socket_t fd)
{
	int one = 1;
	unsigned silent_ms = SILENT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
}

static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg)
{
	Peers *p = arg;
	PeerIn *in = g_new0(PeerIn, 1);
	struct timeval timeout = {GREETING_TIMEOUT_S, 0};

	(void)l;
	(void)sa;
	(void)len;
	in->peers = p;
	frame_set_key(&in->session, p->options.key);
	if (RAND_bytes(in->session.nonce, FRAME_NONCE_LEN) != 1)
		abort();
	set_nodelay_(fd);
	in->bev = bufferevent_socket_new(p->options.base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(in->bev, on_in_read_, NULL, on_in_event_, in);
	bufferevent_write(in->bev, in->session.nonce, FRAME_NONCE_LEN);
	bufferevent_set_timeouts(in->bev, &timeout, NULL); /* until the first good frame */
	bufferevent_enable(in->bev, EV_READ | EV_WRITE);
	g_hash_table_add(p->in, in);
}

static void on_in_read_(struct bufferevent *bev, void *arg)
{
	PeerIn *in = arg;
	Peers *p = in->peers;
	char *body;
	size_t len;
	FrameStatus status;

	while ((status = frame_read(&in->session, bufferevent_get_input(bev), &body, &len)) == FRAME_OK) {
		BH__Message m;
		GError *error = NULL;
		bufferevent_set_timeouts(bev, NULL, NULL);
		p->counters.bytes_in += len + FRAME_HEADER_LEN;
		p->counters.messages_in++;
		if (!len) { /* the greeting */
			free(body);
			continue;
		}
		if (bh__message_decode(&m, body, len, &error)) {
			if (m.type == BH__MESSAGE_RELAY_OPEN && hand_over_(in, &m)) {
				free(body);
				return;
			}
			p->options.on_message(p->options.ctx, &m);
		}
		else {
			log_error("peer-message-refused", "cause=\"%s\"", error->message);
			g_error_free(error);
		}
		bh__message_finish(&m);
		free(body);
	}
	if (status == FRAME_BAD) {
		log_error("peer-frame-refused", "cause=\"wrong key, replay or malformed\"");
		g_hash_table_remove(in->peers->in, in);
	}
}

/* Passes a connection that a peer has opened for one exchange to whoever takes such streams. Returns false if
 * nobody does. */
static bool hand_over_(PeerIn *in, const BH__Message *m)
{
	Peers *p = in->peers;
	struct bufferevent *bev = in->bev;
	FrameSession session = in->session;

	if (!p->options.on_stream)
		return false;
	in->bev = NULL;
	g_hash_table_remove(p->in, in);
	p->options.on_stream(p->options.ctx, peer_stream_accept(bev, &session), m);
	return true;
}

static void on_in_event_(struct bufferevent *bev, short what, void *arg)
{
	PeerIn *in = arg;

	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
		g_hash_table_remove(in->peers->in, in);
}

static void free_in_(gpointer in)
{
	if (((PeerIn *)in)->bev)
		bufferevent_free(((PeerIn *)in)->bev);
	g_free(in);
}

static PeerOut *open_(Peers *p, const char *address)
{
	PeerOut *out;
	struct sockaddr_storage sa;
	int len = sizeof sa;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len) != 0)
		return NULL;
	out = g_new0(PeerOut, 1);
	out->peers = p;
	g_strlcpy(out->address, address, sizeof out->address);
	g_queue_init(&out->pending);
	g_hash_table_insert(p->out, out->address, out);
	connect_(out);
	return out;
}

/* Opens the connection, or opens it anew. */
static void connect_(PeerOut *out)
{
	unsigned wait_ms = FIRST_ATTEMPT_MS << out->attempts++;
	struct timeval timeout = {wait_ms / 1000, wait_ms % 1000 * 1000};
	struct sockaddr_storage sa;
	int len = sizeof sa;

	if (out->bev)
		bufferevent_free(out->bev);
	evutil_parse_sockaddr_port(out->address, (struct sockaddr *)&sa, &len);
	memset(&out->session, 0, sizeof out->session);
	frame_set_key(&out->session, out->peers->options.key);
	out->ready = false;
	out->bev = bufferevent_socket_new(out->peers->options.base, bound_socket_new(out->peers->options.source),
									  BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(out->bev, on_out_read_, NULL, on_out_event_, out);
	bufferevent_set_timeouts(out->bev, &timeout, NULL); /* until the nonce comes */
	bufferevent_enable(out->bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(out->bev, (struct sockaddr *)&sa, len);
	set_nodelay_(bufferevent_getfd(out->bev));
}

/* The first bytes from a peer are the connection's nonce; nothing follows. */
static void on_out_read_(struct bufferevent *bev, void *arg)
{
	PeerOut *out = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	GBytes *bytes;

	if (out->ready || evbuffer_get_length(in) < FRAME_NONCE_LEN)
		return;
	evbuffer_remove(in, out->session.nonce, FRAME_NONCE_LEN);
	out->ready = true;
	out->attempts = 0;
	bufferevent_set_timeouts(bev, NULL, NULL);
	frame_write(&out->session, bufferevent_get_output(bev), "", 0); /* the first frame must be a small one */
	while ((bytes = g_queue_pop_head(&out->pending))) {
		frame_write(&out->session, bufferevent_get_output(bev), g_bytes_get_data(bytes, NULL),
					g_bytes_get_size(bytes));
		g_bytes_unref(bytes);
	}
}

static void on_out_event_(struct bufferevent *bev, short what, void *arg)
{
	PeerOut *out = arg;
	Peers *p = out->peers;
	char address[BH__ADDRESS_LEN];

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)))
		return;
	if (may_connect_again_(out, what)) {
		connect_(out);
		return;
	}
	memcpy(address, out->address, sizeof address);
	g_hash_table_remove(out->peers->out, out->address);
	p->options.on_unreachable(p->options.ctx, address);
}

/* Returns true if what happened to a connection does not show yet that its peer is gone: an attempt took
 * long, or a connection that stood broke, which may be that of the peer's last life. */
static bool may_connect_again_(const PeerOut *out, short what)
{
	if (out->ready)
		return true;
	return (what & BEV_EVENT_TIMEOUT) && out->attempts < ATTEMPTS_MAX;
}

static void free_out_(gpointer arg)
{
	PeerOut *out = arg;
	bufferevent_free(out->bev);
	g_queue_clear_full(&out->pending, (GDestroyNotify)g_bytes_unref);
	g_free(out);
}

/* Sends a message to the node at `address`. It is dropped if that node does not read: what matters is sent
 * again by whoever waits for an answer. */
void peers_send(Peers *p, const char *address, const BH__Message *m)
{
	PeerOut *out = g_hash_table_lookup(p->out, address);
	size_t len;
	char *data;

	if (!out)
		out = open_(p, address);
	if (!out)
		return;
	data = bh__message_encode(m, &len);
	p->counters.bytes_out += len + FRAME_HEADER_LEN;
	p->counters.messages_out++;
	p->counters.type_bytes_out[m->type] += len + FRAME_HEADER_LEN;
	p->counters.type_messages_out[m->type]++;
	if (!out->ready) {
		if (out->pending.length < PENDING_MAX)
			g_queue_push_tail(&out->pending, g_bytes_new(data, len));
	}
	else if (evbuffer_get_length(bufferevent_get_output(out->bev)) < OUTPUT_MAX) {
		frame_write(&out->session, bufferevent_get_output(out->bev), data, len);
	}
	free(data);
}

const PeersCounters *peers_get_counters(const Peers *p)
{
	return &p->counters;
}
