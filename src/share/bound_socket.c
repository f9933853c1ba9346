/* SPDX-License-Identifier: BSD-3-Clause */
/* Sockets that connect from a chosen address, on a machine with several. */
#include "bound_socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include "log.h"

/* Returns a new TCP socket that is bound to the IPv4 address `source`, or -1 if that is NULL or empty, or
 * can't be used, which is logged. A bufferevent takes -1 for a socket of its own. */
evutil_socket_t bound_socket_new(const char *source)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	evutil_socket_t fd;

	if (!source || !source[0])
		return -1;
	evutil_inet_pton(AF_INET, source, &sa.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&sa, sizeof sa) == 0) {
		evutil_make_socket_nonblocking(fd);
		evutil_make_socket_closeonexec(fd);
		return fd;
	}
	log_error("bind-failed", "address=%s cause=\"%s\"", source, strerror(errno));
	if (fd >= 0)
		evutil_closesocket(fd);
	return -1;
}
