/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-fault-proxy: TCP links on loopback that a soak can delay, cut in one or both directions, or reset.
 *
 * usage: bh-fault-proxy --control IP:PORT --link NAME=LISTEN,TO...
 * GET /set?link=NAME&mode=MODE[&ms=N][&from=IP] on the control address sets a link's mode, for the
 * connections of all callers, or only for those from an address:
 * - pass: bytes go through as they come;
 * - delay: they go through N ms later;
 * - silent: nothing goes through, and nobody is told; what waits goes on when the mode changes;
 * - in: the same from callers only; the other way is open;
 * - out: the same towards callers only;
 * - lost: connections that are open, and new ones, carry nothing any more, also when the mode has changed;
 * - reset: open connections are reset, and new ones as they come;
 * - refuse: open connections live on, new ones are reset as they come, or N ms later;
 * - dark: the kernel drops the packets of callers, for N ms if given, and then passes them. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <getopt.h>
#include <glib.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "web.h"

#define LINKS_MAX 32
#define SOURCES_MAX 8 /* callers' addresses for which a link has a mode of their own */
#define IP_LEN 16
#define IP_SOURCE_AT 12 /* of the source's address in an IPv4 header */

typedef enum {
	MODE_PASS,
	MODE_DELAY,
	MODE_SILENT,
	MODE_IN,
	MODE_OUT,
	MODE_LOST,
	MODE_RESET,
	MODE_REFUSE,
	MODE_DARK,
	MODE_COUNT
} Mode;

static const char *const ModeString_[MODE_COUNT] = {"pass", "delay", "silent", "in",  "out",
													"lost", "reset", "refuse", "dark"};

typedef struct Link Link;

typedef struct {
	Link *link;
	char ip[IP_LEN]; /* of callers; empty: any that has no mode of its own */
	Mode mode;
	unsigned delay_ms;
	unsigned changes; /* of the mode: a timer that was set before the latest one does nothing */
} Source;

/* The end of a mode that was given a time. */
typedef struct {
	Source *source;
	unsigned changes;
} End;

struct Link {
	char *name;
	char *to;
	evutil_socket_t listening;
	Source source[SOURCES_MAX]; /* the first is for any caller */
	unsigned sources;
	GHashTable *pairs; /* set of Pair */
};

typedef struct Pair Pair;

/* One direction of a connection. */
typedef struct {
	Pair *pair;
	struct bufferevent *from;
	struct bufferevent *to;
	struct event *timer; /* of what waits for its delay */
	bool from_caller;
	bool ended; /* by its sender: the other side is told once all has gone through */
} Way;

struct Pair {
	Link *link;
	char ip[IP_LEN]; /* of the caller */
	struct bufferevent *caller;
	struct bufferevent *server;
	bool lost;    /* it carries nothing any more */
	bool refused; /* it is reset when its timer fires, and carries nothing */
	Way in;
	Way out;
};

static struct event_base *Base_;
static Link Links_[LINKS_MAX];
static unsigned LinkCount_;

static bool add_link_(const char *text);
static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg);
static void init_way_(Way *w, Pair *p, struct bufferevent *from, struct bufferevent *to, bool from_caller);
static bool is_cut_(const Way *w);
static void move_(Way *w);
static void move_later_(Way *w);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void on_read_(struct bufferevent *bev, void *arg);
static void on_event_(struct bufferevent *bev, short what, void *arg);
static void on_written_(struct bufferevent *bev, void *arg);
static const Source *source_of_(const Pair *p);
static void end_pair_(Pair *p, bool reset);
static void on_control_(struct evhttp_request *req, void *arg);
static bool set_mode_(const char *name, const char *mode, const char *ms, const char *from);
static Source *add_source_(Link *l, const char *ip);
static void end_dark_(evutil_socket_t fd, short what, void *arg);
static void apply_mode_(Link *l);
static void drop_new_(const Link *l);
static void drop_open_(const Pair *p, bool dark);

int main(int argc, char **argv)
{
	static const struct option Options[] = {{"control", required_argument, NULL, 'c'},
											{"link", required_argument, NULL, 'l'},
											{NULL, 0, NULL, 0}};
	const char *control = NULL;
	int option;

	signal(SIGPIPE, SIG_IGN);
	Base_ = event_base_new();
	while ((option = getopt_long(argc, argv, "", Options, NULL)) != -1) {
		if (option == 'c') {
			control = optarg;
		}
		else if (option != 'l' || !add_link_(optarg)) {
			fputs("Usage: bh-fault-proxy --control IP:PORT --link NAME=LISTEN,TO...\n", stderr);
			return 64;
		}
	}
	if (!control || !web_listen(Base_, control, on_control_, NULL)) {
		fputs("bh-fault-proxy: --control must be a free IP:PORT\n", stderr);
		return 69;
	}
	web_run_until_signal(Base_);
	return 0;
}

static bool add_link_(const char *text)
{
	Link *l = &Links_[LinkCount_];
	char **parts = g_strsplit_set(text, "=,", 3);
	struct evconnlistener *listener;
	struct sockaddr_storage sa;
	int len = sizeof sa;
	bool ok = LinkCount_ < LINKS_MAX && g_strv_length(parts) == 3 &&
			  evutil_parse_sockaddr_port(parts[1], (struct sockaddr *)&sa, &len) == 0;

	if (ok) {
		l->name = g_strdup(parts[0]);
		l->to = g_strdup(parts[2]);
		l->sources = 1;
		l->pairs = g_hash_table_new(g_direct_hash, g_direct_equal);
		listener = evconnlistener_new_bind(Base_, on_accept_, l, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
										   -1, (struct sockaddr *)&sa, len);
		ok = listener != NULL;
		if (ok)
			l->listening = evconnlistener_get_fd(listener);
		LinkCount_++;
	}
	g_strfreev(parts);
	return ok;
}

static void on_accept_(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len, void *arg)
{
	Link *link = arg;
	Pair *p = g_new0(Pair, 1);
	struct sockaddr_storage to;
	int to_len = sizeof to;

	(void)l;
	(void)len;
	p->link = link;
	evutil_inet_ntop(AF_INET, &((struct sockaddr_in *)(void *)sa)->sin_addr, p->ip, sizeof p->ip);
	p->lost = source_of_(p)->mode == MODE_LOST;
	p->caller = bufferevent_socket_new(Base_, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	p->server = bufferevent_socket_new(Base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	g_hash_table_add(link->pairs, p);
	init_way_(&p->in, p, p->caller, p->server, true);
	init_way_(&p->out, p, p->server, p->caller, false);
	if (source_of_(p)->mode == MODE_REFUSE && source_of_(p)->delay_ms) {
		unsigned ms = source_of_(p)->delay_ms;
		struct timeval tv = {ms / 1000, (suseconds_t)(ms % 1000 * 1000)};
		p->refused = true;
		evtimer_add(p->in.timer, &tv);
	}
	else if (source_of_(p)->mode == MODE_RESET || source_of_(p)->mode == MODE_REFUSE ||
			 evutil_parse_sockaddr_port(link->to, (struct sockaddr *)&to, &to_len) != 0 ||
			 bufferevent_socket_connect(p->server, (struct sockaddr *)&to, to_len) != 0)
		end_pair_(p, true);
}

static void init_way_(Way *w, Pair *p, struct bufferevent *from, struct bufferevent *to, bool from_caller)
{
	*w = (Way){.pair = p, .from = from, .to = to, .from_caller = from_caller};
	w->timer = evtimer_new(Base_, on_timer_, w);
	bufferevent_setcb(from, on_read_, on_written_, on_event_, w);
	bufferevent_enable(from, EV_READ | EV_WRITE);
}

/* Returns the mode in force for a connection: its caller's own, or that for any. */
static const Source *source_of_(const Pair *p)
{
	for (unsigned i = 1; i < p->link->sources; i++)
		if (!strcmp(p->link->source[i].ip, p->ip))
			return &p->link->source[i];
	return &p->link->source[0];
}

static bool is_cut_(const Way *w)
{
	Mode mode = source_of_(w->pair)->mode;

	return w->pair->lost || w->pair->refused || mode == MODE_SILENT ||
		   mode == (w->from_caller ? MODE_IN : MODE_OUT);
}

/* Lets what has come go on, and after it the end. */
static void move_(Way *w)
{
	if (is_cut_(w))
		return;
	bufferevent_write_buffer(w->to, bufferevent_get_input(w->from));
	if (w->ended && !evbuffer_get_length(bufferevent_get_output(w->to)))
		end_pair_(w->pair, false);
}

static void move_later_(Way *w)
{
	const Source *source = source_of_(w->pair);
	unsigned ms = source->mode == MODE_DELAY ? source->delay_ms : 0;
	struct timeval tv = {ms / 1000, (suseconds_t)(ms % 1000 * 1000)};

	if (!ms)
		move_(w);
	else if (!evtimer_pending(w->timer, NULL))
		evtimer_add(w->timer, &tv);
}

static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	Way *w = arg;

	(void)fd;
	(void)what;
	if (w->pair->refused)
		end_pair_(w->pair, true);
	else
		move_(w);
}

static void on_read_(struct bufferevent *bev, void *arg)
{
	(void)bev;
	move_later_(arg);
}

/* All that a side was sent has gone out: if its sender has ended, so does the connection. */
static void on_written_(struct bufferevent *bev, void *arg)
{
	Way *back = arg; /* the way that begins where the other ends */
	Way *w = back == &back->pair->in ? &back->pair->out : &back->pair->in;

	(void)bev;
	if (w->ended)
		move_later_(w);
}

static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	Way *w = arg;

	(void)bev;
	if (what & BEV_EVENT_ERROR) {
		end_pair_(w->pair, true);
	}
	else if (what & BEV_EVENT_EOF) {
		w->ended = true;
		if (w->pair->lost && w->from_caller)
			end_pair_(w->pair, false);
		else
			move_later_(w);
	}
}

static void end_pair_(Pair *p, bool reset)
{
	struct linger at_once = {1, 0};

	if (reset)
		setsockopt(bufferevent_getfd(p->caller), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
	g_hash_table_remove(p->link->pairs, p);
	event_free(p->in.timer);
	event_free(p->out.timer);
	bufferevent_free(p->caller);
	bufferevent_free(p->server);
	g_free(p);
}

static void on_control_(struct evhttp_request *req, void *arg)
{
	char *name = web_get_query(req, "link");
	char *mode = web_get_query(req, "mode");
	char *ms = web_get_query(req, "ms");
	char *from = web_get_query(req, "from");

	(void)arg;
	if (set_mode_(name ? name : "", mode ? mode : "", ms, from ? from : ""))
		evhttp_send_reply(req, 200, NULL, NULL);
	else
		web_reply_error(req, 400, NULL, "bad-mode", "there is no such link or mode");
	g_free(name);
	g_free(mode);
	g_free(ms);
	g_free(from);
}

/* Sets a link's mode for callers from an address, or, if that is empty, for all. */
static bool set_mode_(const char *name, const char *mode, const char *ms, const char *from)
{
	for (unsigned i = 0; i < LinkCount_; i++) {
		Link *l = &Links_[i];
		Source *source;
		unsigned m = 0;
		while (m < MODE_COUNT && strcmp(mode, ModeString_[m]) != 0)
			m++;
		if (strcmp(l->name, name) != 0 || m == MODE_COUNT)
			continue;
		if (!from[0])
			l->sources = 1;
		source = add_source_(l, from);
		if (!source)
			return false;
		source->mode = (Mode)m;
		source->delay_ms = ms ? (unsigned)strtoul(ms, NULL, 10) : 0;
		source->link = l;
		source->changes++;
		apply_mode_(l);
		if (source->mode == MODE_DARK && source->delay_ms) {
			struct timeval tv = {source->delay_ms / 1000, (suseconds_t)(source->delay_ms % 1000) * 1000};
			End *end = g_new(End, 1);
			*end = (End){.source = source, .changes = source->changes};
			event_base_once(Base_, -1, EV_TIMEOUT, end_dark_, end, &tv);
		}
		return true;
	}
	return false;
}

/* Returns a link's mode for callers from an address, a new one if there is none yet, or NULL if there are too
 * many. */
static Source *add_source_(Link *l, const char *ip)
{
	for (unsigned i = 0; i < l->sources; i++)
		if (!strcmp(l->source[i].ip, ip))
			return &l->source[i];
	if (l->sources == SOURCES_MAX || strlen(ip) >= IP_LEN)
		return NULL;
	g_strlcpy(l->source[l->sources].ip, ip, IP_LEN);
	return &l->source[l->sources++];
}

/* Ends the mode MODE_DARK of a link that was given a time. */
static void end_dark_(evutil_socket_t fd, short what, void *arg)
{
	End *end = arg;

	(void)fd;
	(void)what;
	if (end->source->mode == MODE_DARK && end->source->changes == end->changes) {
		end->source->mode = MODE_PASS;
		apply_mode_(end->source->link);
	}
	g_free(end);
}

/* Lets what waits on a link's connections go on, or resets them, as their modes are now. */
static void apply_mode_(Link *l)
{
	GList *pairs = g_hash_table_get_keys(l->pairs);

	drop_new_(l);
	for (GList *it = pairs; it; it = it->next) {
		Pair *p = it->data;
		if (source_of_(p)->mode == MODE_RESET) {
			end_pair_(p, true);
			continue;
		}
		drop_open_(p, source_of_(p)->mode == MODE_DARK);
		p->lost = p->lost || source_of_(p)->mode == MODE_LOST;
		move_later_(&p->in);
		if (g_hash_table_contains(l->pairs, p))
			move_later_(&p->out);
	}
	g_list_free(pairs);
}

/* Has the kernel drop the opening packets of callers whose mode is MODE_DARK. */
static void drop_new_(const Link *l)
{
	struct sock_filter code[2 * SOURCES_MAX + 2];
	struct sock_fprog program = {.filter = code};
	unsigned n = 0;
	struct in_addr ip;

	code[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, SKF_NET_OFF + IP_SOURCE_AT);
	for (unsigned i = 1; i < l->sources; i++) {
		if (l->source[i].mode != MODE_DARK || inet_pton(AF_INET, l->source[i].ip, &ip) != 1)
			continue;
		code[n] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(ip.s_addr), 0, 1);
		code[n + 1] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, 0);
		n += 2;
	}
	code[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, UINT32_MAX);
	program.len = (unsigned short)n;
	setsockopt(l->listening, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

/* Has the kernel drop all packets of an open connection's caller, or none any more. */
static void drop_open_(const Pair *p, bool dark)
{
	struct sock_filter code[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
	struct sock_fprog program = {.len = 1, .filter = code};
	evutil_socket_t fd = bufferevent_getfd(p->caller);
	int none = 0;

	if (dark)
		setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
	else
		setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none);
}
