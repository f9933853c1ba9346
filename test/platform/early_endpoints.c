/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-early-endpoints: stands before endpoints and answers requests in their place that are still being sent.
 *
 * usage: bh-early-endpoints --control IP:PORT --link LISTEN,TO...
 * A request whose path holds "/early=KIND/NAME" is answered the first time that the name comes, by its head,
 * with one of the kinds below. All else goes through. GET /runs?id=NAME on the control address tells how
 * often a request was answered here, GET /reset?from=IP has all connections of callers at an address reset as
 * they come. A kind that begins with "resumed-" is given to a request that resumes a stream. What becomes of
 * the connection tells a sound endpoint from one in trouble, so answers are written byte for byte, and only
 * the kernel's limits hold back what the caller sends. */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <getopt.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include "web.h"

#define HEAD_MAX 8192      /* bytes of a head that is looked at */
#define RESET_LATE_MS 200  /* after a part of the answer */
#define RESET_AFTER_MS 100 /* after the end of the answer */
#define LARGE_BYTES 40000  /* of a large answer: several reads, and less than a window of the other side */

/* What becomes of the connection when the kernel has taken the answer. */
typedef enum {
	RESET,          /* reset, with the rest of the request unread */
	RESET_LATE,     /* the same, RESET_LATE_MS later */
	END_THEN_RESET, /* ended in good order by this side, and reset RESET_AFTER_MS later, nothing read
					   meanwhile */
	END_AND_STOP,   /* ended in good order by this side, and nothing more is read or sent */
	END_AND_READ,   /* ended in good order by this side, which reads the request to its end */
	READ,           /* stays open, and the request is read to its end */
	ENDLESS,        /* goes on until the other side closes */
	CLOSE           /* closed, with the rest of the request unread */
} Then;

/* One kind of answer. */
typedef struct {
	const char *kind;
	const char *status; /* status line */
	const char *head;   /* further headers */
	const char *body;
	Then then;
	bool is_large; /* the body is LARGE_BYTES long instead */
} Kind;

#define OK_ "HTTP/1.1 200 OK\r\n"
#define LARGE_ "HTTP/1.1 413 Large\r\n"
#define STREAM_ "Content-Type: text/event-stream\r\n"
#define EVENT_ "id: 1\ndata: piece 1\n\n"
#define NEXT_ "id: 5\ndata: piece 5\n\n"
#define SIX_ "Content-Length: 6\r\n"
#define CLOSE_ "Connection: close\r\n"

static const Kind EndlessKind_ = {"endless", OK_, "", "", ENDLESS, false};

static const Kind Kinds_[] = {
	{"reset", OK_, "", "abc", RESET, false},
	{"reset-late", OK_, "", "abc", RESET_LATE, false},
	{"end-reset", OK_, "", "abc", END_THEN_RESET, false},
	{"end-stop", OK_, "", "abc", END_AND_STOP, false},
	{"end-read", OK_, "", "whole\n", END_AND_READ, false},
	{"stream-reset", OK_, STREAM_, EVENT_, RESET, false},
	{"stream-reset-late", OK_, STREAM_, EVENT_, RESET_LATE, false},
	{"stream-end-reset", OK_, STREAM_, EVENT_, END_THEN_RESET, false},
	{"stream-end-read", OK_, STREAM_, EVENT_, END_AND_READ, false},
	{"resumed-reset", OK_, STREAM_, NEXT_, RESET, false},
	{"resumed-reset-late", OK_, STREAM_, NEXT_, RESET_LATE, false},
	{"resumed-end-reset", OK_, STREAM_, NEXT_, END_THEN_RESET, false},
	{"length", OK_, SIX_, "whole\n", READ, false},
	{"length-close", OK_, SIX_ CLOSE_, "whole\n", CLOSE, false},
	{"large-close", OK_, "Content-Length: 40000\r\n" CLOSE_, "", CLOSE, true},
	{"413", LARGE_, SIX_ CLOSE_, "large\n", CLOSE, false},
	{"413-read", LARGE_, SIX_ CLOSE_, "large\n", END_AND_READ, false},
	{NULL, NULL, NULL, NULL, RESET, false},
};

typedef struct {
	char *listen;
	char *to;
} Link;

/* A connection of a caller's. */
typedef struct {
	const Link *link;
	struct bufferevent *caller;
	struct bufferevent *server; /* NULL: none */
	struct event *timer;
	const Kind *kind; /* of its answer here; NULL: it goes through */
	bool is_sent;     /* the kernel has taken the answer */
} Connection;

static struct event_base *Base_;
static char Filler_[LARGE_BYTES]; /* of large answers */
static GHashTable *Runs_;         /* counts by request's name */
static char *Endless_;     /* what the head of a request holds that is answered without an end; NULL: none */
static GHashTable *Reset_; /* set of addresses of callers whose connections are reset */

static bool add_link_(const char *text);
static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg);
static void on_caller_read_(struct bufferevent *bev, void *arg);
static const Kind *choose_(const char *head);
static char *word_(const char *head, const char *before, const char *end);
static void start_answer_(Connection *c, const char *head);
static void connect_(Connection *c);
static void on_server_read_(struct bufferevent *bev, void *arg);
static void on_server_written_(struct bufferevent *bev, void *arg);
static void on_caller_written_(struct bufferevent *bev, void *arg);
static void on_event_(struct bufferevent *bev, short what, void *arg);
static void on_sent_(Connection *c);
static void set_timer_(Connection *c, unsigned ms);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void end_(Connection *c, bool is_reset);
static void on_control_(struct evhttp_request *req, void *arg);

int main(int argc, char **argv)
{
	static const struct option Options[] = {{"control", required_argument, NULL, 'c'},
											{"link", required_argument, NULL, 'l'},
											{NULL, 0, NULL, 0}};
	const char *control = NULL;
	int option;

	signal(SIGPIPE, SIG_IGN);
	Base_ = event_base_new();
	Runs_ = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	Reset_ = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	while ((option = getopt_long(argc, argv, "", Options, NULL)) != -1) {
		if (option == 'c') {
			control = optarg;
		}
		else if (option != 'l' || !add_link_(optarg)) {
			fputs("Usage: bh-early-endpoints --control IP:PORT --link LISTEN,TO...\n", stderr);
			return 64;
		}
	}
	if (!control || !web_listen(Base_, control, on_control_, NULL)) {
		fputs("bh-early-endpoints: --control must be a free IP:PORT\n", stderr);
		return 69;
	}
	web_run_until_signal(Base_);
	return 0;
}

static bool add_link_(const char *text)
{
	char **parts = g_strsplit(text, ",", 2);
	Link *l = g_new0(Link, 1);
	struct sockaddr_storage sa;
	int len = sizeof sa;

	l->listen = g_strdup(parts[0]);
	l->to = g_strdup(parts[1]);
	g_strfreev(parts);
	return l->to && evutil_parse_sockaddr_port(l->listen, (struct sockaddr *)&sa, &len) == 0 &&
		   evconnlistener_new_bind(Base_, on_accept_, l, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
								   (struct sockaddr *)&sa, len);
}

static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg)
{
	Connection *c = g_new0(Connection, 1);
	char ip[INET_ADDRSTRLEN] = "";
	int one = 1;

	(void)l;
	(void)len;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one,
			   sizeof one); /* what is sent before a reset arrives before it */
	evutil_inet_ntop(AF_INET, &((struct sockaddr_in *)(void *)sa)->sin_addr, ip, sizeof ip);
	c->link = arg;
	c->timer = evtimer_new(Base_, on_timer_, c);
	c->caller = bufferevent_socket_new(Base_, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_set_max_single_read(c->caller, HEAD_MAX);
	bufferevent_setcb(c->caller, on_caller_read_, on_caller_written_, on_event_, c);
	bufferevent_enable(c->caller, EV_READ | EV_WRITE);
	if (g_hash_table_contains(Reset_, ip))
		end_(c, true);
}

/* Passes on what a caller sends, once its head has told what becomes of the request. */
static void on_caller_read_(struct bufferevent *bev, void *arg)
{
	Connection *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	char head[HEAD_MAX + 1] = "";

	if (c->server) {
		bufferevent_write_buffer(c->server, in);
		bufferevent_disable(bev, EV_READ); /* until that has gone out */
		return;
	}
	if (c->kind) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	evbuffer_copyout(in, head, HEAD_MAX);
	if (!strstr(head, "\r\n\r\n"))
		return;
	c->kind = choose_(head);
	if (c->kind)
		start_answer_(c, head);
	else
		connect_(c);
}

/* Returns the answer that is due by a head, or NULL if the request goes through. */
static const Kind *choose_(const char *head)
{
	char *path = word_(head, "/early=", " ");
	bool is_resumed = strstr(head, "Last-Event-Id: ") != NULL;
	char **parts = g_strsplit(path ? path : "", "/", 2);
	const Kind *k = Endless_ && strstr(head, Endless_) ? &EndlessKind_ : NULL;

	if (!k && parts[0] && parts[1] && (!g_str_has_prefix(parts[0], "resumed-") || is_resumed) &&
		!g_hash_table_contains(Runs_, parts[1])) {
		for (k = Kinds_; k->kind && strcmp(k->kind, parts[0]) != 0; k++)
			;
		if (!k->kind)
			fprintf(stderr, "no answer of the kind %s\n", parts[0]);
		k = k->kind ? k : NULL;
		g_hash_table_replace(Runs_, g_strdup(parts[1]), GUINT_TO_POINTER(1));
	}
	g_strfreev(parts);
	g_free(path);
	return k;
}

/* Returns what stands in a text between `before` and one of the characters `end`, to free with g_free(), or
 * NULL. */
static char *word_(const char *head, const char *before, const char *end)
{
	const char *from = strstr(head, before);

	from = from ? from + strlen(before) : NULL;
	return from ? g_strndup(from, strcspn(from, end)) : NULL;
}

/* Writes an answer. Of the request only what has come with its head is read for now. */
static void start_answer_(Connection *c, const char *head)
{
	struct evbuffer *out = bufferevent_get_output(c->caller);
	char *id = word_(head, "X-Attempt-Id: ", "\r");

	if (c->kind->then != READ)
		bufferevent_disable(c->caller, EV_READ);
	evbuffer_drain(bufferevent_get_input(c->caller), evbuffer_get_length(bufferevent_get_input(c->caller)));
	evbuffer_add_printf(out, "%sX-Attempt-Id: %s\r\nX-Replica-Signature: stand-in\r\n%s\r\n%s",
						c->kind->status, id ? id : "", c->kind->head, c->kind->body);
	memset(Filler_, 'x', sizeof Filler_);
	if (c->kind->is_large)
		evbuffer_add(out, Filler_, sizeof Filler_);
	g_free(id);
}

/* Begins to pass a connection on. */
static void connect_(Connection *c)
{
	struct sockaddr_storage to;
	int len = sizeof to;

	c->server = bufferevent_socket_new(Base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(c->server, on_server_read_, on_server_written_, on_event_, c);
	bufferevent_enable(c->server, EV_READ | EV_WRITE);
	if (evutil_parse_sockaddr_port(c->link->to, (struct sockaddr *)&to, &len) != 0 ||
		bufferevent_socket_connect(c->server, (struct sockaddr *)&to, len) != 0) {
		end_(c, true);
		return;
	}
	on_caller_read_(c->caller, c);
}

static void on_server_read_(struct bufferevent *bev, void *arg)
{
	bufferevent_write_buffer(((Connection *)arg)->caller, bufferevent_get_input(bev));
}

static void on_server_written_(struct bufferevent *bev, void *arg)
{
	(void)bev;
	bufferevent_enable(((Connection *)arg)->caller, EV_READ);
}

/* Goes on once the kernel has taken what was to be sent to the caller: an answer, or the end of one that goes
 * through. */
static void on_caller_written_(struct bufferevent *bev, void *arg)
{
	Connection *c = arg;

	if (evbuffer_get_length(bufferevent_get_output(bev)) > 0)
		return;
	if (c->server && bufferevent_getfd(c->server) >= 0 && !(bufferevent_get_enabled(c->server) & EV_READ))
		end_(c, false);
	else if (c->kind && !c->is_sent)
		on_sent_(c);
}

static void on_sent_(Connection *c)
{
	c->is_sent = true;
	switch (c->kind->then) {
	case RESET:
		end_(c, true);
		break;
	case RESET_LATE:
		set_timer_(c, RESET_LATE_MS);
		break;
	case END_THEN_RESET:
		shutdown(bufferevent_getfd(c->caller), SHUT_WR);
		set_timer_(c, RESET_AFTER_MS);
		break;
	case END_AND_STOP:
		shutdown(bufferevent_getfd(c->caller), SHUT_WR);
		break;
	case END_AND_READ:
		shutdown(bufferevent_getfd(c->caller), SHUT_WR);
		bufferevent_enable(c->caller, EV_READ);
		break;
	case READ:
		break;
	case ENDLESS:
		c->is_sent = false; /* on_caller_written_() calls again */
		evbuffer_add(bufferevent_get_output(c->caller), Filler_, sizeof Filler_);
		break;
	case CLOSE:
		end_(c, false);
		break;
	}
}

static void set_timer_(Connection *c, unsigned ms)
{
	struct timeval tv = {0, (suseconds_t)ms * 1000};

	evtimer_add(c->timer, &tv);
}

static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	end_(arg, true);
}

/* Ends a connection that one side has ended: the end of an answer that goes through comes behind its bytes.
 */
static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	Connection *c = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (bev == c->server && what & BEV_EVENT_EOF && !(what & BEV_EVENT_ERROR)) {
		bufferevent_disable(bev, EV_READ);
		on_server_read_(bev, c);
		on_caller_written_(c->caller, c);
		return;
	}
	end_(c, what & BEV_EVENT_ERROR);
}

/* Closes a connection, with a reset or as the kernel finds fit. */
static void end_(Connection *c, bool is_reset)
{
	struct linger at_once = {.l_onoff = 1, .l_linger = 0};

	if (is_reset)
		setsockopt(bufferevent_getfd(c->caller), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
	event_free(c->timer);
	bufferevent_free(c->caller);
	if (c->server)
		bufferevent_free(c->server);
	g_free(c);
}

/* Takes an address, or tells how often a request was answered here. */
static void on_control_(struct evhttp_request *req, void *arg)
{
	char *from = web_get_query(req, "from");
	char *path = web_get_query(req, "path");
	char *id = web_get_query(req, "id");
	struct evbuffer *out = evbuffer_new();

	(void)arg;
	if (from)
		g_hash_table_add(Reset_, from);
	if (path) {
		g_free(Endless_);
		Endless_ = path;
	}
	evbuffer_add_printf(out, "%u\n", GPOINTER_TO_UINT(g_hash_table_lookup(Runs_, id ? id : "")));
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
	g_free(id);
}
