/* Injects faults into system calls of a program under test; loaded with LD_PRELOAD.
 *
 * FAULTS is a list of call:fault:period, separated by commas.  Every period-th call of accept,
 * socket, connect, epoll, read or write fails with the error `fault`; with SHORT, read, write
 * and writev transfer only one byte (send is not shortened).  Faults depend on the number of
 * calls, not on time or chance, so that the same calls fail in each run.  Only IPv4 sockets count
 * for socket, read, write and writev; writev counts as write, and so does send on any socket.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define SHORT (-1)
#define MAX_FAULTS 16

struct fault {
    char call[16];
    int error;
    long period;
    long calls;
};

static struct fault faults[MAX_FAULTS];
static int fault_count = -1; /* -1: FAULTS is not parsed yet */

static const struct { const char *name; int error; } errors[] = {
    {"ECONNABORTED", ECONNABORTED}, {"ENFILE", ENFILE}, {"EMFILE", EMFILE}, {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM}, {"EPROTO", EPROTO}, {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH},
    {"EHOSTUNREACH", EHOSTUNREACH}, {"ETIMEDOUT", ETIMEDOUT}, {"EINTR", EINTR}, {"ECONNRESET", ECONNRESET},
    {"EPIPE", EPIPE}, {"EAGAIN", EAGAIN}, {"SHORT", SHORT},
};

static void parse_faults(void) {
    const char *text = getenv("FAULTS");
    fault_count = 0;
    while (text && *text && fault_count < MAX_FAULTS) {
        char name[16];
        struct fault *fault = &faults[fault_count];
        if (sscanf(text, "%15[a-z]:%15[A-Z]:%ld", fault->call, name, &fault->period) != 3)
            abort();
        fault->error = 0;
        for (size_t i = 0; i < sizeof errors / sizeof *errors; i++)
            if (!strcmp(errors[i].name, name))
                fault->error = errors[i].error;
        if (!fault->error || fault->period < 1)
            abort();
        fault_count++;
        text = strchr(text, ',');
        if (text)
            text++;
    }
}

/* Counts this call and returns its fault: an errno value, SHORT, or 0 for none. */
static int next_fault(const char *call) {
    if (fault_count < 0)
        parse_faults();
    for (int i = 0; i < fault_count; i++)
        if (!strcmp(faults[i].call, call) && ++faults[i].calls % faults[i].period == 0)
            return faults[i].error;
    return 0;
}

static int is_inet_socket(int fd) {
    int domain, saved_errno = errno;
    socklen_t size = sizeof domain;
    int is_inet = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
    errno = saved_errno;
    return is_inet;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL(call) \
    do { int error_ = next_fault(call); if (error_ > 0) { errno = error_; return -1; } } while (0)

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    FAIL("accept");
    return REAL(accept4)(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    FAIL("accept");
    return REAL(accept)(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET)
        FAIL("socket");
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    FAIL("connect");
    return REAL(connect)(fd, address, size);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    FAIL("epoll");
    return REAL(epoll_wait)(fd, events, max_events, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask) {
    FAIL("epoll");
    return REAL(epoll_pwait)(fd, events, max_events, timeout, mask);
}

static ssize_t (*real_read)(int, void *, size_t);

ssize_t read(int fd, void *buffer, size_t size) {
    if (!real_read)
        real_read = REAL(read);
    if (size && is_inet_socket(fd)) {
        int error = next_fault("read");
        if (error > 0) {
            errno = error;
            return -1;
        }
        if (error == SHORT)
            size = 1;
    }
    return real_read(fd, buffer, size);
}

ssize_t write(int fd, const void *buffer, size_t size) {
    if (size && is_inet_socket(fd)) {
        int error = next_fault("write");
        if (error > 0) {
            errno = error;
            return -1;
        }
        if (error == SHORT)
            size = 1;
    }
    return REAL(write)(fd, buffer, size);
}

ssize_t writev(int fd, const struct iovec *parts, int part_count) {
    if (part_count && is_inet_socket(fd)) {
        int error = next_fault("write");
        if (error > 0) {
            errno = error;
            return -1;
        }
        if (error == SHORT)
            return REAL(write)(fd, parts[0].iov_base, parts[0].iov_len ? 1 : 0);
    }
    return REAL(writev)(fd, parts, part_count);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
    FAIL("write");
    return REAL(send)(fd, buffer, size, flags);
}
