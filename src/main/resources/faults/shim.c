/*
 * Preloaded into a node by the fault injection harness. Makes system calls fail and shifts the wall
 * clock as set in a control file that the harness and the node both map. Calls fail only in ways
 * that Linux documents for them; everything else in the process behaves as usual.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The control file, written by the harness. SystemCallShim.java uses the same offsets. */
struct control {
    volatile int32_t accept_per_mille, accept_errno;
    volatile int32_t socket_per_mille, socket_errno;
    volatile int32_t connect_per_mille, connect_errno;
    volatile int32_t short_per_mille, interrupt_per_mille;
    volatile int64_t wall_offset_ns;
};

static struct control *control;

static struct control *settings(void) {
    static struct control no_faults;
    if (!control) {
        const char *path = getenv("LARCHRIDGE_SHIM");
        int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
        void *mapping =
            fd < 0 ? MAP_FAILED : mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
        if (fd >= 0) {
            close(fd);
        }
        control = mapping == MAP_FAILED ? &no_faults : mapping;
    }
    return control;
}

static int should_inject(int32_t per_mille) {
    static __thread uint64_t state;
    if (per_mille <= 0) {
        return 0;
    }
    if (!state) {
        state = (uint64_t) (uintptr_t) &state ^ (uint64_t) getpid() << 32 ^ 0x9E3779B97F4A7C15ull;
    }
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (int32_t) (state % 1000) < per_mille;
}

#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    static __typeof__(&accept) real;
    real = real ? real : REAL(accept);
    if (should_inject(settings()->accept_per_mille)) {
        errno = control->accept_errno;
        return -1;
    }
    return real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static __typeof__(&accept4) real;
    real = real ? real : REAL(accept4);
    if (should_inject(settings()->accept_per_mille)) {
        errno = control->accept_errno;
        return -1;
    }
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static __typeof__(&socket) real;
    real = real ? real : REAL(socket);
    if (domain == AF_INET && should_inject(settings()->socket_per_mille)) {
        errno = control->socket_errno;
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static __typeof__(&connect) real;
    real = real ? real : REAL(connect);
    if (address && address->sa_family == AF_INET && should_inject(settings()->connect_per_mille)) {
        errno = control->connect_errno;
        return -1;
    }
    return real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    static __typeof__(&epoll_wait) real;
    real = real ? real : REAL(epoll_wait);
    if (should_inject(settings()->interrupt_per_mille)) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, max_events, timeout);
}

static int is_socket(int fd) {
    int type;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
}

ssize_t write(int fd, const void *bytes, size_t count) {
    static __typeof__(&write) real;
    real = real ? real : REAL(write);
    if (count > 1 && should_inject(settings()->short_per_mille) && is_socket(fd)) {
        count = 1 + count / 3;
    }
    return real(fd, bytes, count);
}

ssize_t read(int fd, void *bytes, size_t count) {
    static __typeof__(&read) real;
    real = real ? real : REAL(read);
    if (count > 1 && should_inject(settings()->short_per_mille) && is_socket(fd)) {
        count = 1 + count / 50;
    }
    return real(fd, bytes, count);
}

ssize_t writev(int fd, const struct iovec *buffers, int count) {
    static __typeof__(&writev) real;
    real = real ? real : REAL(writev);
    if (count > 1 && should_inject(settings()->short_per_mille) && is_socket(fd)) {
        count = 1;
    }
    return real(fd, buffers, count);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static __typeof__(&clock_gettime) real;
    real = real ? real : REAL(clock_gettime);
    int result = real(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        int64_t ns = (int64_t) now->tv_sec * 1000000000 + now->tv_nsec + settings()->wall_offset_ns;
        now->tv_sec = ns / 1000000000;
        now->tv_nsec = ns % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    static __typeof__(&gettimeofday) real;
    real = real ? real : REAL(gettimeofday);
    int result = real(now, zone);
    if (result == 0) {
        int64_t us = (int64_t) now->tv_sec * 1000000 + now->tv_usec + settings()->wall_offset_ns / 1000;
        now->tv_sec = us / 1000000;
        now->tv_usec = us % 1000000;
    }
    return result;
}
