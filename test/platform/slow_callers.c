/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-slow-callers: thousands of callers of a gateway in one process, which never read their answers or read
 * them at a crawl. Every second one reads where a rate is given.
 *
 * usage: bh-slow-callers IP:PORT COUNT PATH KEY BYTES_PER_S [BYTES_BEHIND]
 * BYTES_PER_S: at most 40,960. BYTES_BEHIND: of further requests, which each sends behind its first. Ends
 * when the gateway has closed all connections, or at SIGTERM, and prints how many it closed and how many
 * answers began with which status.
 */
#include <errno.h>
#include <event2/util.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_MS 100
#define BEGUN_A_TICK 50     /* connections: fewer than the backlogs of the gateway and of bh-fake-site */
#define RECEIVE_BUFFER 4096 /* so that little waits in the kernel */
#define TIME_BUDGET_MS 8000 /* of each request */
#define STATUS_AT 9         /* in "HTTP/1.1 200" */
#define STATUS_MAX 600

typedef struct {
	int fd; /* -1: closed */
	bool has_status;
	size_t sent; /* of the request and what is sent behind it */
	bool is_sent;
} Caller;

static volatile sig_atomic_t Stopped_;
static unsigned Statuses_[STATUS_MAX];
static unsigned Closed_;

static void on_stop_(int number);
static int connect_(const char *address);
static void send_(Caller *c, const GString *request);
static void read_status_(Caller *c);
static void read_(Caller *c, size_t bytes);
static void close_(Caller *c);

int main(int argc, char **argv)
{
	unsigned count = argc > 5 ? (unsigned)strtoul(argv[2], NULL, 10) : 0;
	size_t bytes = argc > 5 ? strtoul(argv[5], NULL, 10) * TICK_MS / 1000 : 0;
	size_t behind = argc > 6 ? strtoul(argv[6], NULL, 10) : 0;
	Caller *callers = g_new0(Caller, count);
	struct pollfd *polled = g_new0(struct pollfd, count);
	unsigned begun = 0;

	if (!count) {
		fputs("Usage: bh-slow-callers IP:PORT COUNT PATH KEY BYTES_PER_S [BYTES_BEHIND]\n", stderr);
		return 64;
	}
	signal(SIGTERM, on_stop_);
	signal(SIGPIPE, SIG_IGN);
	while (!Stopped_ && Closed_ < count) {
		for (unsigned i = 0; i < BEGUN_A_TICK && begun < count; i++, begun++)
			callers[begun].fd = connect_(argv[1]);
		for (unsigned i = 0; i < begun; i++)
			polled[i] = (struct pollfd){.fd = callers[i].fd, .events = POLLRDHUP};
		poll(polled, begun, 0);
		for (unsigned i = 0; i < begun; i++) {
			Caller *c = &callers[i];
			GString *request;
			if (c->fd >= 0 && !c->is_sent) {
				request = g_string_new(NULL);
				g_string_printf(request,
								"GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: slow%d-%u\r\n"
								"X-Time-Budget-Ms: %u\r\nX-Api-Key: %s\r\n%s\r\n",
								argv[3], (int)getpid(), i, TIME_BUDGET_MS, argv[4],
								strstr(argv[3], "/ask/") ? "X-Token-Usage: 3000,100\r\n" : "");
				while (request->len < behind)
					g_string_append(request, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
				send_(c, request);
				g_string_free(request, TRUE);
			}
			if (c->fd >= 0 && !c->has_status)
				read_status_(c);
			if (c->fd >= 0 && i % 2 && bytes)
				read_(c, bytes);
			if (c->fd >= 0 && polled[i].revents & (POLLERR | POLLHUP | POLLRDHUP))
				close_(c);
		}
		usleep(TICK_MS * 1000);
	}
	printf("closed=%u", Closed_);
	for (unsigned i = 0; i < STATUS_MAX; i++)
		if (Statuses_[i])
			printf(" %u=%u", i, Statuses_[i]);
	printf("\n");
	g_free(callers);
	g_free(polled);
	return 0;
}

static void on_stop_(int number)
{
	(void)number;
	Stopped_ = 1;
}

/* Begins a connection, and ends the process if that is not possible. */
static int connect_(const char *address)
{
	struct sockaddr_storage sa;
	int len = sizeof sa;
	int bytes = RECEIVE_BUFFER;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	if (fd < 0 || evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len) != 0)
		abort();
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
	if (connect(fd, (struct sockaddr *)&sa, (socklen_t)len) != 0 && errno != EINPROGRESS)
		abort();
	return fd;
}

/* Sends what the connection takes of the rest of the request. */
static void send_(Caller *c, const GString *request)
{
	ssize_t n = 0;

	while (c->sent < request->len && (n = write(c->fd, request->str + c->sent, request->len - c->sent)) > 0)
		c->sent += (size_t)n;
	c->is_sent = c->sent == request->len;
	if (n < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS)
		close_(c);
}

/* Counts the status of an answer that has begun, without taking it from the connection. */
static void read_status_(Caller *c)
{
	char head[STATUS_AT + 4] = "";

	if (recv(c->fd, head, sizeof head - 1, MSG_PEEK) < (ssize_t)sizeof head - 1)
		return;
	c->has_status = true;
	Statuses_[MIN(strtoul(head + STATUS_AT, NULL, 10), STATUS_MAX - 1)]++;
}

/* Reads some of an answer; the connection is closed if it has ended. */
static void read_(Caller *c, size_t bytes)
{
	char data[RECEIVE_BUFFER];

	if (recv(c->fd, data, MIN(bytes, sizeof data), 0) == 0)
		close_(c);
}

/* Closes a connection that the gateway has closed, and counts it. */
static void close_(Caller *c)
{
	close(c->fd);
	c->fd = -1;
	Closed_++;
}
