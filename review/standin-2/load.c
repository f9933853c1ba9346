/* SPDX-License-Identifier: BSD-3-Clause */
/* Many clients: requests at an even rate, each on a channel of its own, at the gateways in turn, every second
 * one on the second path. Each writes a line when it is sent and one when it has ended.
 *
 * usage: load --to IP:PORT,IP:PORT... --per-s N --for-ms N --time-ms N --key KEY --path PATH --path-2 PATH */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define GATEWAYS_MAX 16

typedef struct {
	unsigned number;
	struct bufferevent *bev;
} Request;

static struct event_base *Base;
static struct sockaddr_storage To[GATEWAYS_MAX];
static int ToLen[GATEWAYS_MAX];
static unsigned Gateways;
static const char *Path[2] = {"/", "/"};
static const char *Key = "";
static long TimeMs = 4000;
static long long EndAt;
static unsigned Sent;
static unsigned Running;

static long long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void end_request(Request *r, int status, const char *how)
{
	printf("%lld load id=l%u end=%s status=%d\n", now_ms(), r->number, how, status);
	bufferevent_free(r->bev);
	free(r);
	if (!--Running && now_ms() >= EndAt)
		event_base_loopbreak(Base);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	char head[16] = "";

	if (what & BEV_EVENT_CONNECTED)
		return;
	evbuffer_copyout(in, head, sizeof head - 1);
	end_request(arg, strlen(head) > 12 ? atoi(head + 9) : 0,
				what & BEV_EVENT_EOF ? "closed" : what & BEV_EVENT_TIMEOUT ? "time-up" : "failed");
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	Request *r;
	struct timeval limit = {TimeMs / 1000, TimeMs % 1000 * 1000};

	(void)fd;
	(void)what;
	if (now_ms() >= EndAt) {
		event_del(arg);
		if (!Running)
			event_base_loopbreak(Base);
		return;
	}
	r = calloc(1, sizeof *r);
	r->number = ++Sent;
	r->bev = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(r->bev, NULL, NULL, on_event, r);
	bufferevent_set_timeouts(r->bev, &limit, NULL);
	evbuffer_add_printf(bufferevent_get_output(r->bev),
						"POST %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: l%u\r\nX-Time-Budget-Ms: %ld\r\n"
						"X-Api-Key: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
						Path[r->number % 2], r->number, TimeMs, Key);
	bufferevent_enable(r->bev, EV_READ | EV_WRITE);
	Running++;
	printf("%lld load id=l%u sent\n", now_ms(), r->number);
	bufferevent_socket_connect(r->bev, (struct sockaddr *)&To[r->number % Gateways],
							   ToLen[r->number % Gateways]);
}

int main(int argc, char **argv)
{
	long per_s = 1;
	long for_ms = 1000;
	struct timeval tick = {0, 0};
	struct event *timer;

	for (int i = 1; i + 1 < argc; i += 2) {
		if (!strcmp(argv[i], "--per-s"))
			per_s = atol(argv[i + 1]);
		else if (!strcmp(argv[i], "--for-ms"))
			for_ms = atol(argv[i + 1]);
		else if (!strcmp(argv[i], "--time-ms"))
			TimeMs = atol(argv[i + 1]);
		else if (!strcmp(argv[i], "--key"))
			Key = argv[i + 1];
		else if (!strcmp(argv[i], "--path"))
			Path[0] = argv[i + 1];
		else if (!strcmp(argv[i], "--path-2"))
			Path[1] = argv[i + 1];
		else if (!strcmp(argv[i], "--to"))
			for (char *one = strtok(argv[i + 1], ","); one && Gateways < GATEWAYS_MAX; one = strtok(NULL, ",")) {
				ToLen[Gateways] = sizeof To[0];
				if (evutil_parse_sockaddr_port(one, (struct sockaddr *)&To[Gateways], &ToLen[Gateways]) != 0)
					return 2;
				Gateways++;
			}
	}
	if (!Gateways || per_s < 1)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	Base = event_base_new();
	EndAt = now_ms() + for_ms;
	tick.tv_usec = 1000000 / per_s;
	timer = event_new(Base, -1, EV_PERSIST, on_tick, event_self_cbarg());
	event_add(timer, &tick);
	event_base_dispatch(Base);
	return 0;
}
