/* A library for LD_PRELOAD that makes calls of the C library fail by chance, as Linux documents that they may.
 *
 * It belongs to the soak test (testbed/soak) and is driven by a control file that the test maps too: first the rates
 * that hold now, which the test writes, then one counter for each kind of fault, which this library writes.
 * MAPLESHUNT_FAULT_CONTROL names the file, MAPLESHUNT_FAULT_SEED seeds the choice, MAPLESHUNT_FAULT_FOLDER is the
 * folder whose files fail. Only TCP sockets are touched. Without a control file every call passes through.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* In the order of SyscallFaultRates in syscall_faults.py. */
enum kind {
    ACCEPT, CONNECT, SOCKET, SHORT_IO, INTERRUPT, BROKEN_AS, DISK, DISK_READ, CLOCK_STEP, DISK_SLOW,
    HOLD_PEEK, HOLD_READ, HOLD_WRITE, HOLD_SHUTDOWN, HOLD_CLOSE, HOLD_ACCEPT, HOLD_CLOCK, HOLD_SECONDS,
    HOLD_SPACING, KINDS
};

struct control {
    /* Chance of each call. CLOCK_STEP: s added to the wall clock; DISK_SLOW: s a sync takes longer;
       HOLD_SECONDS: length of a hold; HOLD_SPACING: s from one hold to the next at least. */
    double rates[KINDS];
    volatile uint64_t counts[KINDS];
};

static struct control *control;
static char folder[PATH_MAX];
static size_t folder_length;
static __thread uint64_t state;
static uint64_t seed;
static uint64_t threads;

#define REAL(name) ((__typeof__(&name))real(#name))

static void *real(const char *name) { return dlsym(RTLD_NEXT, name); }

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("MAPLESHUNT_FAULT_CONTROL");
    const char *under = getenv("MAPLESHUNT_FAULT_FOLDER");
    const char *number = getenv("MAPLESHUNT_FAULT_SEED");
    int file;
    if (path == NULL)
        return;
    seed = number != NULL ? strtoull(number, NULL, 10) : 1;
    if (under != NULL && realpath(under, folder) != NULL)
        folder_length = strlen(folder);
    file = REAL(open)(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    REAL(close)(file);
    if (mapped != MAP_FAILED)
        control = mapped;
}

static double chance(void) { /* xorshift64*, one stream a thread */
    if (state == 0)
        state = (seed + __sync_add_and_fetch(&threads, 1)) * 0x9E3779B97F4A7C15ull | 1;
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    return (double)((state * 0x2545F4914F6CDD1Dull) >> 11) / (double)(1ull << 53);
}

static int strikes_quietly(enum kind kind) { return chance() < control->rates[kind]; }

static int strikes(enum kind kind) {
    if (control == NULL || control->rates[kind] <= 0.0 || !strikes_quietly(kind))
        return 0;
    __sync_add_and_fetch(&control->counts[kind], 1);
    return 1;
}

static int fail(const int *errors, size_t count) {
    errno = errors[(size_t)(chance() * (double)count)];
    return -1;
}

#define FAIL(errors) fail(errors, sizeof(errors) / sizeof(errors[0]))

static int is_tcp(int fd) {
    int kind = 0, domain = 0;
    socklen_t size = sizeof(kind);
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &size) != 0 || kind != SOCK_STREAM)
        return 0;
    size = sizeof(domain);
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
}

/* Holds */

/* Pauses before a call. HOLD_SPACING keeps holds apart: several in a row add up to a longer one. */
static void hold(enum kind kind) {
    static double last;
    struct timespec now;
    if (control == NULL || control->rates[kind] <= 0.0 || !strikes_quietly(kind))
        return;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
    double at = (double)now.tv_sec + (double)now.tv_nsec / 1e9, seconds = control->rates[HOLD_SECONDS];
    if (last > 0.0 && at - last < control->rates[HOLD_SPACING])
        return;
    last = at + seconds;
    __sync_add_and_fetch(&control->counts[kind], 1);
    struct timespec time = {(time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9)};
    nanosleep(&time, NULL);
}

static void hold_socket(enum kind kind, int fd) {
    if (control != NULL && control->rates[kind] > 0.0 && is_tcp(fd))
        hold(kind);
}

/* Connections */

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, ENOBUFS, EPERM, EINTR, ENETUNREACH};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH, ENOBUFS};
static const int SOCKET_ERRORS[] = {ENFILE, ENOBUFS, EMFILE, ENOMEM};
static const int BROKEN_ERRORS[] = {ETIMEDOUT, EHOSTUNREACH};

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    hold_socket(HOLD_ACCEPT, fd);
    return strikes(ACCEPT) ? FAIL(ACCEPT_ERRORS) : REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    hold_socket(HOLD_ACCEPT, fd);
    return strikes(ACCEPT) ? FAIL(ACCEPT_ERRORS) : REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (is_tcp(fd) && strikes(CONNECT))
        return FAIL(CONNECT_ERRORS);
    return REAL(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && (type & 0xf) == SOCK_STREAM && strikes(SOCKET))
        return FAIL(SOCKET_ERRORS);
    return REAL(socket)(domain, type, protocol);
}

/* Bytes */

static size_t shorter(int fd, size_t length) {
    if (length > 1 && is_tcp(fd) && strikes(SHORT_IO))
        return 1 + (size_t)(chance() * (double)(length - 1));
    return length;
}

static ssize_t broken(int fd, ssize_t result) {
    if (result < 0 && (errno == ECONNRESET || errno == EPIPE)) {
        int was = errno;
        if (is_tcp(fd) && strikes(BROKEN_AS))
            return FAIL(BROKEN_ERRORS);
        errno = was;
    }
    return result;
}

ssize_t recv(int fd, void *data, size_t length, int flags) {
    if (strikes(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    hold_socket(flags & MSG_PEEK ? HOLD_PEEK : HOLD_READ, fd);
    return broken(fd, REAL(recv)(fd, data, shorter(fd, length), flags));
}

int shutdown(int fd, int how) {
    hold_socket(HOLD_SHUTDOWN, fd);
    return REAL(shutdown)(fd, how);
}

int close(int fd) {
    hold_socket(HOLD_CLOSE, fd);
    return REAL(close)(fd);
}

ssize_t send(int fd, const void *data, size_t length, int flags) {
    if (strikes(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    hold_socket(HOLD_WRITE, fd);
    return broken(fd, REAL(send)(fd, data, shorter(fd, length), flags));
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (strikes(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    return REAL(epoll_wait)(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    if (strikes(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    return REAL(epoll_pwait)(fd, events, most, timeout, mask);
}

/* Files under the folder */

static int is_ours(int fd) {
    char name[64], path[PATH_MAX];
    ssize_t length;
    if (folder_length == 0 || control == NULL)
        return 0;
    strcpy(name, "/proc/self/fd/");
    char digits[16];
    int at = 0;
    do
        digits[at++] = (char)('0' + fd % 10);
    while ((fd /= 10) > 0);
    char *end = name + strlen(name);
    while (at > 0)
        *end++ = digits[--at];
    *end = 0;
    length = readlink(name, path, sizeof(path));
    return length > (ssize_t)folder_length && memcmp(path, folder, folder_length) == 0;
}

static const int DISK_ERRORS[] = {EIO, ENOSPC};

static ssize_t disk_write(ssize_t (*write_part)(int, const void *, size_t, off64_t), int fd, const void *data,
                          size_t length, off64_t offset) {
    if (chance() < 0.5)
        return FAIL(DISK_ERRORS);
    return write_part(fd, data, length / 2, offset); /* the rest fails, or is written by the next call */
}

static ssize_t write_at_end(int fd, const void *data, size_t length, off64_t offset) {
    (void)offset;
    return REAL(write)(fd, data, length);
}

static int disk_strikes(enum kind kind, int fd) {
    return control != NULL && control->rates[kind] > 0.0 && is_ours(fd) && strikes(kind);
}

ssize_t write(int fd, const void *data, size_t length) {
    if (disk_strikes(DISK, fd))
        return disk_write(write_at_end, fd, data, length, 0);
    return REAL(write)(fd, data, length);
}

ssize_t pwrite64(int fd, const void *data, size_t length, off64_t offset) {
    if (disk_strikes(DISK, fd))
        return disk_write(REAL(pwrite64), fd, data, length, offset);
    return REAL(pwrite64)(fd, data, length, offset);
}

ssize_t pwrite(int fd, const void *data, size_t length, off_t offset) { return pwrite64(fd, data, length, offset); }

ssize_t pread64(int fd, void *data, size_t length, off64_t offset) {
    if (disk_strikes(DISK_READ, fd)) {
        errno = EIO;
        return -1;
    }
    return REAL(pread64)(fd, data, length, offset);
}

static void sync_slowly(int fd) {
    if (control == NULL || control->rates[DISK_SLOW] <= 0.0 || !is_ours(fd))
        return;
    double seconds = control->rates[DISK_SLOW];
    struct timespec time = {(time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9)};
    __sync_add_and_fetch(&control->counts[DISK_SLOW], 1);
    nanosleep(&time, NULL);
}

int fsync(int fd) {
    sync_slowly(fd);
    return disk_strikes(DISK, fd) ? FAIL(DISK_ERRORS) : REAL(fsync)(fd);
}

int fdatasync(int fd) {
    sync_slowly(fd);
    return disk_strikes(DISK, fd) ? FAIL(DISK_ERRORS) : REAL(fdatasync)(fd);
}

int ftruncate64(int fd, off64_t length) {
    return disk_strikes(DISK, fd) ? FAIL(DISK_ERRORS) : REAL(ftruncate64)(fd, length);
}

/* The wall clock; the monotonic one runs on. */

static long step_seconds(void) { return control != NULL ? (long)control->rates[CLOCK_STEP] : 0; }

int clock_gettime(clockid_t clock, struct timespec *time) {
    hold(HOLD_CLOCK);
    int result = REAL(clock_gettime)(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME)
        time->tv_sec += step_seconds();
    return result;
}

int gettimeofday(struct timeval *time, void *zone) {
    int result = REAL(gettimeofday)(time, zone);
    if (result == 0)
        time->tv_sec += step_seconds();
    return result;
}

time_t time(time_t *into) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (into != NULL)
        *into = now.tv_sec;
    return now.tv_sec;
}
