#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace bulrush {

/**
 * Holds the latest immutable snapshot, which one thread publishes and others read. Thread safe.
 */
template<typename View>
class ViewHolder
{
public:
    explicit ViewHolder(std::shared_ptr<const View> view)
        : m_view(std::move(view))
    { }

    std::shared_ptr<const View> view() const
    {
        const std::scoped_lock lock{m_mutex};
        return m_view;
    }

    void setView(std::shared_ptr<const View> view)
    {
        const std::scoped_lock lock{m_mutex};
        m_view.swap(view);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const View> m_view;
};

} // namespace bulrush
