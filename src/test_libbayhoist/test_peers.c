/* SPDX-License-Identifier: BSD-3-Clause */
/* Connections between nodes, with real sockets on loopback: a peer that is slow to come up, one that comes
 * back, and one that is gone. */
#include <arpa/inet.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "peers.h"

#define KEY "key-of-the-test"
#define FILLERS 8
#define SLOW_MS 50   /* until the peer takes connections */
#define SOON_MS 700  /* by when a message is to have come; the kernel tries again after 1,000 */
#define GONE_MS 2500 /* by when a peer that is gone is to have been told of */

typedef struct {
	struct event_base *base;
	Peers *peers;
	char address[32];
	unsigned messages;
	unsigned unreachable;
} Side;

static void on_message_(void *ctx, const BH__Message *m)
{
	((Side *)ctx)->messages += m->type == BH__MESSAGE_WITHDRAW;
}

static void on_unreachable_(void *ctx, const char *address)
{
	(void)address;
	((Side *)ctx)->unreachable++;
}

/* Opens a side on an address, or on one of its own choice if that is empty. */
static void open_(Side *s, struct event_base *base)
{
	PeersOptions o = {.base = base,
					  .address = s->address,
					  .key = KEY,
					  .on_message = on_message_,
					  .on_unreachable = on_unreachable_,
					  .ctx = s};

	s->base = base;
	s->peers = peers_new(&o);
	assert_non_null(s->peers);
}

/* Returns a socket that listens on a free port of loopback, and its address. */
static int listen_(char address[32], int backlog)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof sa;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	assert_int_equal(bind(fd, (struct sockaddr *)&sa, sizeof sa), 0);
	assert_int_equal(listen(fd, backlog), 0);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	snprintf(address, 32, "127.0.0.1:%u", ntohs(sa.sin_port));
	return fd;
}

static void run_(struct event_base *base, unsigned ms)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static void send_(Side *from, const char *address)
{
	BH__Message m = {.type = BH__MESSAGE_WITHDRAW};

	peers_send(from->peers, address, &m);
}

/* Opens two sides of which one has sent the other a message. */
static struct event_base *open_pair_(Side *a, Side *b)
{
	struct event_base *base = event_base_new();

	close(listen_(a->address, 1));
	close(listen_(b->address, 1));
	open_(a, base);
	open_(b, base);
	send_(a, b->address);
	run_(base, SLOW_MS);
	assert_int_equal(b->messages, 1);
	return base;
}

/* A peer drops opening packets, as one does that has no power yet, and takes connections a moment later. */
static void a_peer_that_comes_up_is_reached_soon_(void **state)
{
	struct event_base *base = event_base_new();
	Side a = {0};
	Side b = {0};
	int filler[FILLERS];
	int fd = listen_(b.address, 0);
	struct sockaddr_storage sa;
	int len = sizeof sa;

	(void)state;
	close(listen_(a.address, 1));
	open_(&a, base);
	evutil_parse_sockaddr_port(b.address, (struct sockaddr *)&sa, &len);
	for (int i = 0; i < FILLERS; i++) { /* its queue of new connections is full */
		filler[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(filler[i], (struct sockaddr *)&sa, (socklen_t)len);
	}
	send_(&a, b.address);
	run_(base, SLOW_MS);
	for (int i = 0; i < FILLERS; i++)
		close(filler[i]);
	close(fd);
	open_(&b, base);
	run_(base, SOON_MS);
	assert_int_equal(b.messages, 1);
	assert_int_equal(a.unreachable, 0);
	peers_delete(a.peers);
	peers_delete(b.peers);
	event_base_free(base);
}

/* A process ends and another takes its place at once: that is no reason to take the node for gone. */
static void a_peer_that_is_back_is_not_told_of_as_gone_(void **state)
{
	Side a = {0};
	Side b = {0};
	struct event_base *base = open_pair_(&a, &b);

	(void)state;
	peers_delete(b.peers);
	open_(&b, base);
	run_(base, SLOW_MS);
	send_(&a, b.address);
	run_(base, SLOW_MS);
	assert_int_equal(b.messages, 2);
	assert_int_equal(a.unreachable, 0);
	peers_delete(a.peers);
	peers_delete(b.peers);
	event_base_free(base);
}

/* A process ends and none takes its place. */
static void a_peer_that_is_gone_is_told_of_(void **state)
{
	Side a = {0};
	Side b = {0};
	struct event_base *base = open_pair_(&a, &b);

	(void)state;
	peers_delete(b.peers);
	run_(base, SLOW_MS);
	assert_int_equal(a.unreachable, 1);
	peers_delete(a.peers);
	event_base_free(base);
}

/* A peer that never takes a connection is told of in the end. */
static void a_peer_that_stays_silent_is_told_of_(void **state)
{
	struct event_base *base = event_base_new();
	Side a = {0};
	char address[32];
	int fd = listen_(address, 1);

	(void)state;
	close(listen_(a.address, 1));
	open_(&a, base);
	send_(&a, address);
	run_(base, GONE_MS);
	assert_int_equal(a.unreachable, 1);
	peers_delete(a.peers);
	event_base_free(base);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(a_peer_that_comes_up_is_reached_soon_),
									   cmocka_unit_test(a_peer_that_is_back_is_not_told_of_as_gone_),
									   cmocka_unit_test(a_peer_that_is_gone_is_told_of_),
									   cmocka_unit_test(a_peer_that_stays_silent_is_told_of_)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
