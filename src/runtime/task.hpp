// A lazy coroutine that its awaiter owns: destroying the awaiter destroys it.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace brasslift::runtime {

template <class T>
class Task;

namespace detail {

struct PromiseBase {
    std::coroutine_handle<> continuation;
    std::exception_ptr fault;

    std::suspend_always initial_suspend() noexcept { return {}; }
    struct Final {
        bool await_ready() noexcept { return false; }
        template <class Promise>
        std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> ended) noexcept {
            const auto next = ended.promise().continuation;
            return next ? next : std::noop_coroutine();
        }
        void await_resume() noexcept {}
    };
    Final final_suspend() noexcept { return {}; }
    void unhandled_exception() { fault = std::current_exception(); }
};

template <class T>
struct Promise : PromiseBase {
    std::optional<T> value;
    Task<T> get_return_object();
    void return_value(T result) { value.emplace(std::move(result)); }
    T take() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase {
    Task<void> get_return_object();
    void return_void() {}
    void take() {}
};

}  // namespace detail

template <class T = void>
class [[nodiscard]] Task {
public:
    using promise_type = detail::Promise<T>;
    explicit Task(std::coroutine_handle<promise_type> frame) : frame_(frame) {}
    Task(Task&& other) noexcept : frame_(std::exchange(other.frame_, nullptr)) {}
    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;
    Task& operator=(Task&&) = delete;
    ~Task() {
        if (frame_) frame_.destroy();
    }

    bool await_ready() const noexcept { return false; }
    std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiter) {
        frame_.promise().continuation = awaiter;
        return frame_;
    }
    T await_resume() {
        if (frame_.promise().fault) std::rethrow_exception(frame_.promise().fault);
        return frame_.promise().take();
    }

private:
    std::coroutine_handle<promise_type> frame_;
};

namespace detail {
template <class T>
Task<T> Promise<T>::get_return_object() {
    return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
    return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}
}  // namespace detail

}  // namespace brasslift::runtime
