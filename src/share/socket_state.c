/* SPDX-License-Identifier: BSD-3-Clause */
/* An end of what can be read from a connection does not say that the other side took what was sent. */
#include "socket_state.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Returns true if the connection has failed and no call has been told. The failure is told to no other call
 * after this one. */
bool socket_has_failed(evutil_socket_t fd)
{
	int error = 0;
	socklen_t len = sizeof error;

	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 && error != 0;
}

/* Returns true if the other side's kernel has not acknowledged all that was sent. */
bool socket_has_unsent(evutil_socket_t fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}
