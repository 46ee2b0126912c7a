package placement

import "slices"

// ImageCache is a model of the image cache of a machine: the images used on the machine, most recently used first, up
// to the cache's capacity. The zero value is empty.
type ImageCache struct {
	images  []string
	sizesGB []float64
}

// Use records that an image is cached and in use, and evicts the least recently used images beyond the capacity.
func (c *ImageCache) Use(image string, sizeGB, capacityGB float64) {
	if i := slices.Index(c.images, image); i >= 0 {
		c.images = slices.Delete(c.images, i, i+1)
		c.sizesGB = slices.Delete(c.sizesGB, i, i+1)
	}
	c.images = slices.Insert(c.images, 0, image)
	c.sizesGB = slices.Insert(c.sizesGB, 0, sizeGB)
	totalGB := 0.0
	for i, size := range c.sizesGB {
		totalGB += size
		if totalGB > capacityGB && i > 0 { // the image in use stays cached, whatever its size
			c.images, c.sizesGB = c.images[:i], c.sizesGB[:i]
			return
		}
	}
}

// Has reports whether an image is known to be cached. A nil cache has no images.
func (c *ImageCache) Has(image string) bool { return c != nil && slices.Contains(c.images, image) }
