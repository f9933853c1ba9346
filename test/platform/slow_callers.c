/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-slow-callers: thousands of callers of a gateway in one process, which never read their answers, read
 * them at a crawl, or read nothing for a while and then all. Every second one reads where a rate is given.
 *
 * usage: bh-slow-callers IP:PORT COUNT PATH KEY BYTES_PER_S [BYTES_BEHIND [STALL_MS]]
 * BYTES_PER_S: at most 40,960. BYTES_BEHIND: of further requests, which each sends behind its first.
 * STALL_MS: all callers read, from then on, as fast as they can. PATH: a "%u" in it is the caller's number.
 * Ends when the gateway has closed all connections, or at SIGTERM, and prints how many it closed, how many
 * answers began with which status, and with STALL_MS how many were whole.
 */
#include <errno.h>
#include <event2/util.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_MS 100
#define READING_TICK_US 1000 /* while all read as fast as they can */
#define BEGUN_A_TICK 50      /* connections: fewer than the backlogs of the gateway and of bh-fake-site */
#define RECEIVE_BUFFER 4096  /* so that little waits in the kernel */
#define TIME_BUDGET_MS 8000  /* of each request */
#define STATUS_AT 9          /* in "HTTP/1.1 200" */
#define STATUS_MAX 600
#define SEGMENT_BYTES                                                                                        \
	1448 /* as on Ethernet: the kernel keeps megabytes in the large segments of loopback                     \
		  */
#define LAST_CHUNK "\r\n0\r\n\r\n"

typedef struct {
	int fd; /* -1: closed */
	bool has_status;
	size_t sent; /* of the request and what is sent behind it */
	bool is_sent;
	GString *answer; /* what a caller that reads all has of it; NULL: it does not */
} Caller;

static volatile sig_atomic_t Stopped_;
static unsigned Statuses_[STATUS_MAX];
static unsigned Closed_;
static unsigned Whole_;

static void on_stop_(int number);
static int connect_(const char *address);
static void send_(Caller *c, const GString *request);
static void read_status_(Caller *c);
static void read_(Caller *c, size_t bytes);
static void read_all_(Caller *c);
static bool is_whole_(const GString *answer);
static void close_(Caller *c);
static uint64_t now_ms_(void);

int main(int argc, char **argv)
{
	unsigned count = argc > 5 ? (unsigned)strtoul(argv[2], NULL, 10) : 0;
	size_t bytes = argc > 5 ? strtoul(argv[5], NULL, 10) * TICK_MS / 1000 : 0;
	size_t behind = argc > 6 ? strtoul(argv[6], NULL, 10) : 0;
	uint64_t stall_ms = argc > 7 ? strtoul(argv[7], NULL, 10) : 0;
	uint64_t started_ms = now_ms_();
	Caller *callers = g_new0(Caller, count);
	struct pollfd *polled = g_new0(struct pollfd, count);
	unsigned begun = 0;

	if (!count) {
		fputs("Usage: bh-slow-callers IP:PORT COUNT PATH KEY BYTES_PER_S [BYTES_BEHIND [STALL_MS]]\n",
			  stderr);
		return 64;
	}
	signal(SIGTERM, on_stop_);
	signal(SIGPIPE, SIG_IGN);
	while (!Stopped_ && Closed_ < count) {
		for (unsigned i = 0; i < BEGUN_A_TICK && begun < count; i++, begun++)
			callers[begun] =
				(Caller){.fd = connect_(argv[1]), .answer = stall_ms ? g_string_new(NULL) : NULL};
		for (unsigned i = 0; i < begun; i++)
			polled[i] = (struct pollfd){.fd = callers[i].fd, .events = POLLRDHUP};
		poll(polled, begun, 0);
		for (unsigned i = 0; i < begun; i++) {
			Caller *c = &callers[i];
			GString *request;
			if (c->fd >= 0 && !c->is_sent) {
				char *number = g_strdup_printf("%u", i);
				char **path = g_strsplit(argv[3], "%u", 2);
				char *target = g_strjoinv(number, path);
				request = g_string_new(NULL);
				g_string_printf(request,
								"GET %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: slow%d-%u\r\n"
								"X-Time-Budget-Ms: %u\r\nX-Api-Key: %s\r\n%s\r\n",
								target, (int)getpid(), i, TIME_BUDGET_MS, argv[4],
								strstr(argv[3], "/ask/") ? "X-Token-Usage: 3000,100\r\n" : "");
				g_free(target);
				g_strfreev(path);
				g_free(number);
				while (request->len < behind)
					g_string_append(request, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
				send_(c, request);
				g_string_free(request, TRUE);
			}
			if (c->fd >= 0 && !c->has_status)
				read_status_(c);
			if (c->fd >= 0 && i % 2 && bytes)
				read_(c, bytes);
			if (stall_ms && now_ms_() >= started_ms + stall_ms) {
				if (c->fd >= 0)
					read_all_(c);
				continue;
			}
			if (c->fd >= 0 && !stall_ms && polled[i].revents & (POLLERR | POLLHUP | POLLRDHUP))
				close_(c);
		}
		usleep(stall_ms && now_ms_() >= started_ms + stall_ms ? READING_TICK_US : TICK_MS * 1000);
	}
	printf("closed=%u", Closed_);
	for (unsigned i = 0; i < STATUS_MAX; i++)
		if (Statuses_[i])
			printf(" %u=%u", i, Statuses_[i]);
	if (stall_ms)
		printf(" whole=%u", Whole_);
	printf("\n");
	for (unsigned i = 0; i < begun; i++)
		if (callers[i].answer)
			g_string_free(callers[i].answer, TRUE);
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
	int segment = SEGMENT_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	if (fd < 0 || evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len) != 0)
		abort();
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
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

/* Reads what has come of an answer. Once its connection ends it is whole or not. */
static void read_all_(Caller *c)
{
	static char data[1 << 20];
	ssize_t n;

	while ((n = recv(c->fd, data, sizeof data, 0)) > 0)
		g_string_append_len(c->answer, data, n);
	if (is_whole_(c->answer)) {
		Whole_++;
		close_(c);
	}
	else if (n == 0 || (n < 0 && errno != EAGAIN)) {
		close_(c);
	}
}

static bool is_whole_(const GString *answer)
{
	const char *body = strstr(answer->str, "\r\n\r\n");
	const char *length = strstr(answer->str, "Content-Length: ");

	if (!body)
		return false;
	if (length && length < body)
		return answer->len - (size_t)(body + 4 - answer->str) >=
			   strtoul(length + strlen("Content-Length: "), NULL, 10);
	return answer->len > strlen(LAST_CHUNK) &&
		   !memcmp(answer->str + answer->len - strlen(LAST_CHUNK), LAST_CHUNK, strlen(LAST_CHUNK));
}

static uint64_t now_ms_(void)
{
	return (uint64_t)(g_get_monotonic_time() / 1000);
}

/* Closes a connection that the gateway has closed, and counts it. */
static void close_(Caller *c)
{
	close(c->fd);
	c->fd = -1;
	Closed_++;
}
