/* SPDX-License-Identifier: BSD-3-Clause */
/* Listening sockets that are closed without a reset of connections that were accepted by the kernel only. */
#include "quiet_socket.h"

#include <linux/filter.h>
#include <stdint.h>
#include <sys/socket.h>

#define TCP_FLAGS_OFFSET 13 /* bytes in the TCP header (RFC 9293, section 3.1) */
#define TCP_FLAG_SYN 0x02

/* Has the kernel drop the first packets of new connections, so that none is set up between the last accept
 * and the close. Callers send them again, and are refused once the socket is closed. What completes a
 * connection whose first packet has been answered still passes: its caller counts it as set up. Such ones are
 * accepted for a round trip more, before the close. Where that can't be had, the few that come in between are
 * reset. */
void quiet_socket_refuse_new(evutil_socket_t fd)
{
	struct sock_filter code[] = {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
								 BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN, 0, 1),
								 BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, UINT32_MAX)};
	struct sock_fprog program = {.len = sizeof code / sizeof *code, .filter = code};

	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

/* Returns the next connection that waits at a listening socket, or -1 if none does. */
evutil_socket_t quiet_socket_accept(evutil_socket_t fd)
{
	return accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}
