/* SPDX-License-Identifier: BSD-3-Clause */
/* Listening sockets that are closed without a reset of connections that were accepted by the kernel only. */
#include "quiet_socket.h"

#include <linux/filter.h>
#include <sys/socket.h>

/* Has the kernel drop what comes for a listening socket, so that no connection is set up between the last
 * accept and the close. Callers send their first packet again, and are refused once the socket is closed.
 * Where that can't be had, the few that come in between are reset. */
void quiet_socket_refuse_new(evutil_socket_t fd)
{
	struct sock_filter code[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
	struct sock_fprog program = {.len = 1, .filter = code};

	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

/* Returns the next connection that waits at a listening socket, or -1 if none does. */
evutil_socket_t quiet_socket_accept(evutil_socket_t fd)
{
	return accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}
